//! Why a node did not start.

/// Failure to start a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NodeError {
    /// The settings lack a section or name a key that can't be read.
    #[error("the settings can't be used")]
    Settings,
    /// The metrics receiver can't be used.
    #[error("the counters can't be exported")]
    Metrics,
    /// The control role did not start.
    #[error("the control role did not start")]
    Control,
    /// The entry role did not start.
    #[error("the entry role did not start")]
    Entry,
    /// The agent role did not start.
    #[error("the agent role did not start")]
    Agent,
}
