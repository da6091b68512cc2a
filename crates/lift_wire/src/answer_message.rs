//! Messages from an agent to an entry.

use crate::{call_failure, claim_state};

/// Message on a connection for [`crate::Purpose::Calls`], from the agent.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum AnswerMessage {
    /// Start of an answer.
    Head {
        /// Identifier of the request.
        id: lift_types::RequestId,
        /// HTTP status.
        status: u16,
        /// Headers, without hop-by-hop ones.
        headers: Vec<(String, String)>,
        /// Version that makes the answer.
        version: Option<lift_types::VersionId>,
        /// Length of the body, where it is known.
        length: Option<u64>,
    },
    /// Part of the body.
    Data {
        /// Identifier of the request.
        id: lift_types::RequestId,
        /// Position of the part, from zero.
        sequence: u32,
        /// The bytes.
        bytes: bytes::Bytes,
    },
    /// End of a whole answer.
    End {
        /// Identifier of the request.
        id: lift_types::RequestId,
        /// Number of body bytes.
        total: u64,
        /// Number of parts.
        count: u32,
    },
    /// The request was refused before dispatch: it did not run.
    Refused {
        /// Identifier of the request.
        id: lift_types::RequestId,
        /// Why.
        reason: lift_types::RefusalReason,
        /// Attempt that was refused and that the agent will never run, for a claimed one.
        attempt: Option<lift_types::Attempt>,
    },
    /// The request was dispatched and has no whole answer.
    Failed {
        /// Identifier of the request.
        id: lift_types::RequestId,
        /// What happened.
        failure: call_failure::CallFailure,
    },
    /// Answer to a question about a claim.
    Claim {
        /// Identifier of the question.
        id: lift_types::RequestId,
        /// What the agent knows.
        state: claim_state::ClaimState,
    },
    /// Answer to a ping.
    Pong,
}

impl AnswerMessage {
    /// Request that the message belongs to, `None` for a pong.
    pub fn id(&self) -> Option<lift_types::RequestId> {
        match self {
            Self::Head { id, .. }
            | Self::Data { id, .. }
            | Self::End { id, .. }
            | Self::Refused { id, .. }
            | Self::Failed { id, .. }
            | Self::Claim { id, .. } => Some(*id),
            Self::Pong => None,
        }
    }

    /// Whether no further message of the request follows.
    pub fn is_last(&self) -> bool {
        !matches!(self, Self::Head { .. } | Self::Data { .. })
    }
}
