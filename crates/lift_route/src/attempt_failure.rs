//! Failure of an attempt.

/// Why an attempt failed to deliver a complete answer. Only the first two variants prove
/// that the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The agent refused the request before dispatching it to the backend server.
    Refused(lift_types::RefusalReason),
    /// No connection to the agent was available, so the request never left this process.
    NotSent,
    /// The connection to the agent, or the agent's connection to the backend server, broke.
    ConnectionLost,
    /// The backend server ended while it ran the request, which may be at fault itself.
    BackendEnded,
    /// The connection to the agent went silent.
    ConnectionSilent,
    /// The answer failed a check of its id, sequence, length, end or version.
    Damaged,
    /// The agent or backend server took too long.
    Timeout,
}

impl AttemptFailure {
    /// Whether the failure proves that the request did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::Refused(_) | Self::NotSent)
    }

    /// Returns the reason under which a retry after this failure is counted.
    pub fn retry_reason(self) -> lift_types::RetryReason {
        match self {
            Self::Refused(_) => lift_types::RetryReason::Refused,
            Self::NotSent | Self::ConnectionLost | Self::BackendEnded => {
                lift_types::RetryReason::ConnectionLost
            }
            Self::ConnectionSilent => lift_types::RetryReason::ConnectionSilent,
            Self::Damaged => lift_types::RetryReason::AnswerDamaged,
            Self::Timeout => lift_types::RetryReason::AttemptTimeout,
        }
    }

    /// Returns the reason reported to the caller when no further attempt is made.
    pub fn refusal_reason(self) -> lift_types::RefusalReason {
        match self {
            Self::Refused(reason) => reason,
            Self::Timeout => lift_types::RefusalReason::DeadlineUnmet,
            _ => lift_types::RefusalReason::BackendUnreachable,
        }
    }
}
