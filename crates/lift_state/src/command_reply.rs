//! Replies of the state machine.

use crate::{change_reply, claim_reply};

/// What the state machine answers to a [`crate::Command`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum CommandReply {
    /// Answer to a configuration change.
    Change(change_reply::ChangeReply),
    /// The version is known.
    Published,
    /// Incarnation of a registered agent.
    Registered(lift_types::Incarnation),
    /// Fencing token.
    Fenced(lift_types::FencingToken),
    /// A later incarnation of the host is registered.
    Superseded(lift_types::Incarnation),
    /// Answer to a claim, a reassignment or a record.
    Claim(claim_reply::ClaimReply),
    /// There is no such claim or registration; nothing was written.
    Missing,
    /// A value is not valid. Nothing was written.
    Invalid {
        /// Path of the field.
        path: String,
        /// What is wrong and what is allowed.
        problem: String,
    },
}
