//! Replies of the state machine.

use crate::{change_reply, claim_reply};

/// Result of applying a [`crate::Command`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum CommandReply {
    /// Reply to a configuration change.
    Change(change_reply::ChangeReply),
    /// The manifest is stored.
    Published,
    /// The agent is registered with this incarnation.
    Registered(lift_types::Incarnation),
    /// The fencing token that was issued.
    Fenced(lift_types::FencingToken),
    /// Another incarnation of the host, given here, is registered. No token was issued.
    Superseded(lift_types::Incarnation),
    /// Reply to a claim, a reassignment or a recorded outcome.
    Claim(claim_reply::ClaimReply),
    /// The claim or registration does not exist. Nothing was written.
    Missing,
    /// A value is not valid. Nothing was written.
    Invalid {
        /// Path of the invalid field.
        path: String,
        /// Description of the error, with the allowed values.
        problem: String,
    },
}
