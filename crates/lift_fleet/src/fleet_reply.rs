//! Replies to commands.

/// Whether a command changed the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum FleetReply {
    /// It is in force now.
    Applied,
    /// The same or a higher version was in force already.
    Overtaken,
}
