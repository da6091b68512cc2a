//! The replicated state machine: configuration, claims, registrations and fencing tokens.
//!
//! The crate has three parts. Requests and replies such as [`ConfigChange`] and [`ChangeReply`]
//! are plain data types that control operations carry. The state machine, [`State`], applies
//! the commands of the replicated log. It reads no clock and does no I/O, so equal logs give
//! equal states on every control member. [`LeaseTable`] holds the leases and activation grants
//! of the leader, which are not replicated. See `docs/design.md`, sections 4, 8 and 9.

mod activation_reply;
mod activation_request;
mod audit_record;
mod change_edit;
mod change_reply;
mod claim_group;
mod claim_holder;
mod claim_key;
mod claim_reply;
mod claim_request;
mod command;
mod command_reply;
mod config_change;
mod config_state;
mod gate_decision;
mod invalid_value;
mod lease_renewal;
mod lease_reply;
mod lease_table;
mod outcome;
mod policy_delta;
mod policy_edits;
mod policy_validation;
mod preview;
mod reassign_request;
mod recent_changes;
mod record_request;
mod registered_host;
mod registration;
mod serving_domain;
mod state;
mod state_part;
mod state_snapshot;

pub use activation_reply::ActivationReply;
pub use activation_request::ActivationRequest;
pub use audit_record::AuditRecord;
pub use change_edit::ChangeEdit;
pub use change_reply::ChangeReply;
pub use claim_group::{CLAIM_RETENTION, MAX_CLAIMS_PER_GROUP};
pub use claim_holder::ClaimHolder;
pub use claim_key::ClaimKey;
pub use claim_reply::ClaimReply;
pub use claim_request::ClaimRequest;
pub use command::Command;
pub use command_reply::CommandReply;
pub use config_change::ConfigChange;
pub use config_state::{MAX_AUDIT_RECORDS, MAX_VERSIONS};
pub use gate_decision::GateDecision;
pub use invalid_value::InvalidValue;
pub use lease_renewal::LeaseRenewal;
pub use lease_reply::LeaseReply;
pub use lease_table::LeaseTable;
pub use outcome::{MAX_OUTCOME_BODY_BYTES, Outcome};
pub use policy_delta::PolicyDelta;
pub use preview::preview;
pub use reassign_request::ReassignRequest;
pub use record_request::RecordRequest;
pub use registration::Registration;
pub use state::{CLAIM_KEY_GROUPS, State};
pub use state_part::StatePart;
