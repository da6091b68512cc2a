//! A snapshot on its way to a follower.

use std::time;

use crate::snapshot;

/// The snapshot that is sent, which stays the same when the leader takes a newer one:
/// otherwise a large snapshot might never arrive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: snapshot::Snapshot,
    /// Bytes that the follower has.
    pub(crate) received: u64,
    /// When the present part was sent.
    pub(crate) sent_at: Option<time::Instant>,
}
