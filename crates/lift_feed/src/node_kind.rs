//! Kind of a node.

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum NodeKind {
    /// A control member.
    Control,
    /// Takes the requests of callers.
    Gateway,
    /// Stands beside a backend server.
    Agent,
}
