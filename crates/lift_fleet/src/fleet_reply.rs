//! Reply to a command.

/// Result of applying a [`crate::FleetCommand`]. The variant names appear in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum FleetReply {
    /// The command changed the state.
    Applied,
    /// The command changed nothing, since the same or a newer state was already set.
    Overtaken,
}
