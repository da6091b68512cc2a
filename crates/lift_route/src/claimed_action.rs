//! What to do next for a non-idempotent request.

/// Action of a [`crate::ClaimedRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimedAction {
    /// Choose a host that was not tried.
    Choose,
    /// Claim the request for a host.
    Claim {
        /// The host.
        host: lift_types::HostId,
        /// Incarnation of its agent.
        incarnation: lift_types::Incarnation,
    },
    /// Send the request to the holder. This comes once for each holder.
    Send(lift_state::ClaimHolder),
    /// Ask the holder what became of the attempt, after a short pause where it was asked
    /// before.
    Query {
        /// The holder.
        holder: lift_state::ClaimHolder,
        /// Earlier queries.
        earlier: u32,
    },
    /// Move the claim to another host.
    Reassign {
        /// Holder that proved that its attempt did not run.
        refused: lift_state::ClaimHolder,
        /// The next host.
        host: lift_types::HostId,
        /// Incarnation of its agent.
        incarnation: lift_types::Incarnation,
    },
    /// Read the claim from control.
    Look,
    /// Give the caller the answer that came.
    GiveAnswer,
    /// Give the caller the outcome that control or the holder reported.
    GiveOutcome,
    /// Tell the caller that the request did not run.
    NotRun {
        /// Why.
        reason: lift_types::RefusalReason,
    },
    /// Tell the caller that it is not known whether the request ran.
    InDoubt {
        /// Why.
        reason: lift_types::RefusalReason,
    },
    /// Nothing: the event is late or doubled.
    Ignore,
}

impl ClaimedAction {
    /// Whether the request is at its end.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            Self::GiveAnswer | Self::GiveOutcome | Self::NotRun { .. } | Self::InDoubt { .. }
        )
    }
}
