//! Result of an update of the directory.

/// Effect of an announcement or record on a directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// No effect: the same or a newer announcement is known, the backend server is gone, or one
    /// that started later has its address.
    Stale,
    /// Nothing has changed but the sequence and the warm-up time.
    Refreshed,
    /// State, models, address or another property has changed, the backend server was unknown
    /// before, has turned cold, or has become silent or is no longer silent.
    Changed,
}
