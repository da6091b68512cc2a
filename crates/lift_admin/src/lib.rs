//! The administration API of the entries: HTTP and JSON.
//!
//! [`Admin`] serves it over any [`lift_rpc::ControlPort`] and a [`FleetView`], which returns the
//! agents that the entry knows in its region. [`ChangeBody`] and [`ChangeAnswer`],
//! [`ManifestBody`], [`RolloutStatus`] and [`FleetMember`] are the bodies, which `liftctl`
//! shares. On a control member, [`Admin`] also offers the [`ControlMembers`] operations. Callers
//! show a bearer token; a [`TokenRecord`] holds its salted hash and [`TokenRole`]. [`load_tls`]
//! reads the certificate and the key; the caller listener uses it too.
//! `docs/operate/rollout.md` shows the API in use.

mod admin;
mod admin_builder;
mod admin_error;
mod admin_state;
mod api_error;
mod audit_query;
mod change_answer;
mod change_body;
mod change_mode;
mod control_change;
mod control_change_error;
mod control_member_status;
mod control_members;
mod control_routes;
mod fleet_error;
mod fleet_member;
mod fleet_routes;
mod fleet_view;
mod held_hosts;
mod lagging_host;
mod listener;
mod manifest_body;
mod member_state;
mod policy_routes;
mod preview;
mod problem;
mod region_status;
mod rollout_status;
mod routes;
mod tls;
mod token_list;
mod token_record;
mod token_role;
mod token_store;
mod version_routes;
mod version_status;

pub use admin::Admin;
pub use admin_builder::AdminBuilder;
pub use admin_error::AdminError;
pub use change_answer::ChangeAnswer;
pub use change_body::ChangeBody;
pub use change_mode::ChangeMode;
pub use control_change::ControlChange;
pub use control_change_error::ControlChangeError;
pub use control_member_status::ControlMemberStatus;
pub use control_members::ControlMembers;
pub use fleet_error::FleetError;
pub use fleet_member::FleetMember;
pub use fleet_view::FleetView;
pub use held_hosts::HeldHosts;
pub use lagging_host::LaggingHost;
pub use manifest_body::ManifestBody;
pub use member_state::MemberState;
pub use problem::Problem;
pub use region_status::RegionStatus;
pub use rollout_status::RolloutStatus;
pub use tls::load_tls;
pub use token_list::TokenList;
pub use token_record::TokenRecord;
pub use token_role::TokenRole;
pub use version_status::VersionStatus;
