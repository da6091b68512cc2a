//! What bytes are held for.

/// Kinds of bytes that have shares of their own in a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldKind {
    /// Bodies that callers, operators and backend servers send.
    Body = 0,
    /// Answers on their way to callers.
    Answer = 1,
}
