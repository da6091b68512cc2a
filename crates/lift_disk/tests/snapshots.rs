//! Guards against snapshots that are saved at once and take each other for a failed disk.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{sync, thread};

/// Pairs of saves.
const PAIRS: u64 = 50;

fn snapshot(index: lift_types::LogIndex) -> lift_consensus::Snapshot {
    lift_consensus::Snapshot {
        index,
        term: 1,
        members: lift_consensus::MemberSet::default(),
        state: bytes::Bytes::from(vec![7; 1_000]),
    }
}

#[test]
fn snapshots_that_are_saved_at_once_do_not_fail() {
    let folder = tempfile::tempdir().unwrap();
    let disk = lift_disk::FileDisk::open(folder.path().to_path_buf()).unwrap();
    let (log, _) = lift_disk::LogStore::open(sync::Arc::new(disk)).unwrap();
    for pair in 1..=PAIRS {
        thread::scope(|scope| {
            for index in [3 * pair, 3 * pair + 1] {
                let store = log.snapshots();
                scope.spawn(move || store.save(&snapshot(index)).unwrap());
            }
        });
        let newest = log.snapshots().load().unwrap().unwrap();
        assert_eq!(newest.index, 3 * pair + 1);
    }
}
