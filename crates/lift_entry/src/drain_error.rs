//! Why an agent was not told to leave.

/// Failure to make an agent leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DrainError {
    /// This entry knows no live agent on the host.
    #[error("this entry knows no live agent on host {0}")]
    UnknownHost(lift_types::HostId),
    /// The agent could not be reached or did not confirm in time. It may leave all the same.
    #[error("the agent on host {0} did not confirm that it leaves")]
    Unconfirmed(lift_types::HostId),
}
