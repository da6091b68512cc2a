//! Replies on the wire.

use std::time;

use crate::{control_error, policy_update};

/// What a server answers. New variants go to the end, since the position is encoded.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) enum Reply {
    Failed(control_error::ControlError),
    Confirmed {
        /// The current revision.
        revision: lift_types::Revision,
        /// Age of that knowledge.
        age: time::Duration,
        /// What the client needs to get there.
        update: Option<policy_update::PolicyUpdate>,
    },
    Done,
    Change(lift_state::ChangeReply),
    Manifest(lift_types::Manifest),
    Versions(Vec<lift_types::VersionId>),
    Incarnation(lift_types::Incarnation),
    Leases(Vec<Option<lift_state::LeaseReply>>),
    Activation(lift_state::ActivationReply),
    Claim(lift_state::ClaimReply),
    FoundClaim(Option<lift_state::ClaimReply>),
    Audit(Vec<lift_state::AuditRecord>),
    SwarmView(lift_transfer::SwarmView),
    Members(lift_consensus::MemberSet),
}
