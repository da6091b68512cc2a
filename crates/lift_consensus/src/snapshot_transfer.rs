//! Transfer of a snapshot to a follower.

use std::time;

use crate::snapshot;

/// Progress of a snapshot transfer. The transfer keeps its snapshot when the leader takes a
/// newer one: otherwise the transfer of a large snapshot might never complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SnapshotTransfer {
    pub(crate) snapshot: snapshot::Snapshot,
    /// Number of bytes that the follower has received.
    pub(crate) received: u64,
    /// Time at which the current part was sent, or `None` if it has to be sent.
    pub(crate) sent_at: Option<time::Instant>,
}
