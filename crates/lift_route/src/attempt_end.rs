//! End of an attempt without a whole answer.

/// How an attempt ended. Only the first two prove that the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The agent refused before dispatch.
    Refused(lift_types::RefusalReason),
    /// No connection to the agent could be had, so the request never left this process.
    NotSent,
    /// The connection to the agent broke.
    ConnectionLost,
    /// The connection to the agent went silent.
    ConnectionSilent,
    /// The answer failed a check of its id, sequence, length, end or version.
    Damaged,
    /// The agent or backend server took too long.
    Timeout,
}

impl AttemptEnd {
    /// Whether the end proves that the request did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Self::Refused(_) | Self::NotSent)
    }

    /// Reason under which a retry is counted.
    pub fn retry_reason(self) -> lift_types::RetryReason {
        match self {
            Self::Refused(_) => lift_types::RetryReason::Refused,
            Self::NotSent | Self::ConnectionLost => lift_types::RetryReason::ConnectionLost,
            Self::ConnectionSilent => lift_types::RetryReason::ConnectionSilent,
            Self::Damaged => lift_types::RetryReason::AnswerDamaged,
            Self::Timeout => lift_types::RetryReason::AttemptTimeout,
        }
    }

    /// Reason that the caller is told where no attempt is left.
    pub fn refusal_reason(self) -> lift_types::RefusalReason {
        match self {
            Self::Refused(reason) => reason,
            Self::Timeout => lift_types::RefusalReason::DeadlineUnmet,
            _ => lift_types::RefusalReason::BackendUnreachable,
        }
    }
}
