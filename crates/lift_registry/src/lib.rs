//! Control members of a fleet whose backend servers announce themselves.
//!
//! A [`ControlMember`] runs one: its part of the replicated log, which keeps the document in
//! force and the named weights ([`FleetMachine`]); the directory of backend servers, which it
//! shares with the other members; and the feed for all other nodes. A host with an empty disk
//! becomes a member by asking, and the leader removes members that are lost.
//!
//! [`FleetControl`] is what operators and backend servers call, through whatever front end.
//! See `docs/platform.md`.

mod control_fault;
mod control_member;
mod control_member_builder;
mod directory_keeper;
mod fleet_control;
mod fleet_machine;
mod log_slot;
mod member_disk;
mod member_keeper;
mod member_observer;
mod member_start;
mod registry;
mod registry_control;
mod registry_source;

pub use control_fault::ControlFault;
pub use control_member::ControlMember;
pub use control_member_builder::ControlMemberBuilder;
pub use fleet_control::FleetControl;
pub use fleet_machine::FleetMachine;
pub use registry::Registry;
