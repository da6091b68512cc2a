//! The thread that saves snapshots.

use std::sync;

use sync::mpsc;

use crate::node;

/// Saves until it gets `None`. It runs beside the disk thread, so that the log goes on while
/// a large snapshot is written.
pub(crate) fn run(
    node: &node::Node,
    store: &lift_disk::SnapshotStore,
    snapshots: &mpsc::Receiver<Option<lift_consensus::Snapshot>>,
) {
    while let Ok(Some(snapshot)) = snapshots.recv() {
        if let Err(e) = store.save(&snapshot) {
            slog::crit!(node.log, "a snapshot can't be saved; the member stops"; "error" => ?e);
            node.shut_down();
            return;
        }
        slog::info!(node.log, "snapshot saved";
            "index" => snapshot.index, "bytes" => snapshot.state.len());
        node.counters.increment("log.snapshots");
        node.step(lift_consensus::Event::SnapshotSaved(snapshot.index));
    }
}
