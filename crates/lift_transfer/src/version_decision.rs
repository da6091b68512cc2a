//! Which version is read next, and why.

/// Decision of a [`crate::VersionChoice`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionDecision {
    /// The older version is nearly complete.
    OlderNearlyComplete,
    /// The older version is kept while the origin does not answer, since the newer one can't be
    /// read.
    OlderOriginAway,
    /// An older version has been loaded already before this newer one.
    NewerAfterFinish,
    /// Finishing the older version took longer than expected.
    NewerOlderOverdue,
    /// The origin has dropped the older version, and pieces of it are missing everywhere.
    NewerOlderDropped,
    /// The time of the older version would end before it has served for long enough.
    NewerOlderTooLate,
    /// The newer version would not be in place in its own time.
    NewerWouldBeLate,
    /// It is not this server's turn to load the older version once that is complete, and the newer
    /// one can be read meanwhile.
    NewerOlderWaits,
    /// Too much of the older version is missing.
    NewerOlderIncomplete,
}

impl VersionDecision {
    /// Whether the older version is read on.
    pub fn is_older(self) -> bool {
        matches!(self, Self::OlderNearlyComplete | Self::OlderOriginAway)
    }
}
