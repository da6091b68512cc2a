//! Errors when an agent is drained.

/// Reason why the drain of an agent could not be confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DrainError {
    /// This entry has no live agent on the host in its directory.
    #[error("no live agent is known on host {0}")]
    UnknownHost(lift_types::HostId),
    /// The agent could not be reached or did not confirm in time. It may be leaving nevertheless.
    #[error("the agent on host {0} did not confirm that it is leaving")]
    Unconfirmed(lift_types::HostId),
}
