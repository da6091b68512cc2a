//! Action for a non-idempotent request.

/// Next action of a [`crate::ClaimedRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimedAction {
    /// Select a host, preferably one that was not tried.
    SelectHost,
    /// Claim the request for a host.
    Claim {
        /// The host.
        host: lift_types::HostId,
        /// Incarnation of its agent.
        incarnation: lift_types::Incarnation,
    },
    /// Send the request to the holder. Returned at most once for each holder.
    Send(lift_state::ClaimHolder),
    /// Query the holder for the state of the attempt, after a short pause if there were
    /// previous queries.
    Query {
        /// The holder.
        holder: lift_state::ClaimHolder,
        /// Number of previous queries for this request.
        previous_queries: u32,
    },
    /// Move the claim to the next attempt, which may run on the same host.
    Reassign {
        /// Holder whose attempt provably did not run.
        refused: lift_state::ClaimHolder,
        /// Host of the next attempt.
        host: lift_types::HostId,
        /// Incarnation of its agent.
        incarnation: lift_types::Incarnation,
    },
    /// Read the claim from control.
    ReadClaim,
    /// Return the received answer to the caller.
    ReturnAnswer,
    /// Return to the caller the outcome that control or the holder reported.
    ReturnOutcome,
    /// Report to the caller that the request did not run.
    NotRun {
        /// Reason reported to the caller.
        reason: lift_types::RefusalReason,
    },
    /// Report to the caller that it is unknown whether the request ran.
    InDoubt {
        /// Reason reported to the caller.
        reason: lift_types::RefusalReason,
    },
    /// Do nothing, because the event is late or a duplicate.
    Ignore,
}

impl ClaimedAction {
    /// Whether the action completes the request.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            Self::ReturnAnswer | Self::ReturnOutcome | Self::NotRun { .. } | Self::InDoubt { .. }
        )
    }
}
