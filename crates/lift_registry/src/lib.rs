//! Control members of a fleet: the replicated document in force, target versions and evacuations,
//! and the directory of backend servers, which announce themselves.
//!
//! A [`ControlMember`] runs three parts: the replicated log, which stores the document in force,
//! the target versions of weights and the evacuated failure domains ([`FleetStateMachine`]); the
//! directory of backend servers, which the members exchange; and the feed for all other nodes. A
//! host with an empty disk becomes a member by a join request, and so does one whose member was
//! removed, also if it was one of the first. The leader removes a voter that stopped answering if
//! the number of voters is even.
//!
//! [`FleetControl`] has the operations for operators and backend servers. It does not depend on
//! the front end that receives the calls.
//! See `docs/platform.md`.

mod control_member;
mod control_member_builder;
mod current_log;
mod directory_maintenance;
mod disk_owner;
mod fleet_control;
mod fleet_control_error;
mod fleet_log_owner;
mod fleet_state_machine;
mod leader_heads;
mod member_bootstrap;
mod member_disk;
mod member_observer;
mod membership_maintenance;
mod registry;
mod registry_control;
mod registry_source;

pub use control_member::ControlMember;
pub use control_member_builder::ControlMemberBuilder;
pub use fleet_control::FleetControl;
pub use fleet_control_error::FleetControlError;
pub use fleet_state_machine::FleetStateMachine;
pub use registry::Registry;
