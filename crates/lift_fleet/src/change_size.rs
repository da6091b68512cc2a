//! What an announcement changed.

/// Effect of an announcement on a directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeSize {
    /// Nothing: the announcement is older than what is known, or is displaced by a newer
    /// backend server at its address.
    Stale,
    /// Only the sequence.
    Refreshed,
    /// State, models, address or service, or the backend server was unknown or silent.
    Changed,
}
