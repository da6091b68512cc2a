//! Messages from an entry to an agent.

use crate::{call, claim_query};

/// Message on a connection for [`crate::Purpose::Calls`], from the entry.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum CallMessage {
    /// Runs a request.
    Call(Box<call::Call>),
    /// Cancels an idempotent request whose caller has gone.
    Cancel {
        /// Identifier of the request.
        id: lift_types::RequestId,
    },
    /// Allows the agent to send more of an answer. It starts with [`CallMessage::WINDOW`].
    Credit {
        /// Identifier of the request.
        id: lift_types::RequestId,
        /// Number of further body bytes.
        bytes: u32,
    },
    /// Asks what became of a claimed attempt.
    QueryClaim(Box<claim_query::ClaimQuery>),
    /// Keeps the connection alive.
    Ping,
    /// Makes the agent refuse new work for good. Its heartbeats confirm it.
    Leave,
}

impl CallMessage {
    /// Body bytes of one answer that may be under way. One slow caller can't fill the
    /// connection that it shares with others.
    pub const WINDOW: u32 = 256 * 1024;
}
