//! Effect of a host report.

/// Effect of a report on the membership view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// The host is new, or its agent restarted with a later incarnation. Connections to the
    /// earlier incarnation are no longer usable.
    Joined,
    /// Location, state, version, services, addresses or health changed.
    Changed,
    /// Only the load or the sequence number changed.
    Refreshed,
    /// The report is not newer than the latest one applied, and is ignored.
    Stale,
}
