//! What a report changed.

/// Effect of a report on the membership view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The host is new, or another incarnation of it started. Connections to the earlier
    /// incarnation are of no use.
    Joined,
    /// State, version, services or addresses changed.
    Changed,
    /// Only the load or the sequence changed.
    Refreshed,
    /// The report is older than one that was seen, and is ignored.
    Stale,
}
