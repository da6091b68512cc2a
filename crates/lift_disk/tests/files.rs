//! Guards against durable state that is lost, reappears or is misread when files are truncated
//! or damaged.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::sync;

use lift_disk::Disk as _;
use proptest::prelude::*;

fn entry(index: u64, term: u64) -> lift_consensus::Entry {
    let command = bytes::Bytes::from(format!("command {index} of term {term}"));
    lift_consensus::Entry {
        index,
        term,
        payload: lift_consensus::Payload::Command(command),
    }
}

fn write(indexes: std::ops::RangeInclusive<u64>, term: u64) -> lift_consensus::Write {
    lift_consensus::Write {
        hard_state: Some(lift_consensus::HardState {
            term,
            vote: Some(1),
        }),
        entries: indexes.map(|index| entry(index, term)).collect(),
        ..lift_consensus::Write::default()
    }
}

fn snapshot(index: u64, term: u64) -> lift_consensus::Snapshot {
    lift_consensus::Snapshot {
        index,
        term,
        members: lift_consensus::MemberSet::new(),
        state: bytes::Bytes::from_static(b"state"),
    }
}

fn open(
    disk: &sync::Arc<lift_disk::SimulatedDisk>,
) -> Result<
    (lift_disk::LogStore, lift_consensus::RecoveredState),
    error_stack::Report<lift_disk::DiskError>,
> {
    lift_disk::LogStore::open(sync::Arc::clone(disk) as _)
}

/// Returns a disk with three writes in one segment, the name of the segment, and its length
/// after each write.
fn three_writes() -> (sync::Arc<lift_disk::SimulatedDisk>, String, Vec<usize>) {
    let disk = sync::Arc::new(lift_disk::SimulatedDisk::new());
    let (mut store, _) = open(&disk).unwrap();
    let mut lengths = Vec::new();
    for i in 0..3 {
        store.write(vec![write(i * 2 + 1..=i * 2 + 2, 1)]).unwrap();
        let name = disk.list().unwrap().remove(0);
        lengths.push(disk.read(&name).unwrap().len());
    }
    let name = disk.list().unwrap().remove(0);
    (disk, name, lengths)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against an incomplete write at the end that prevents the start or is recovered in
    /// part.
    #[test]
    fn truncated_segment_recovers_all_complete_records(truncated_length in 0_usize..400) {
        let (disk, name, lengths) = three_writes();
        let truncated_length = truncated_length.min(lengths[2]);
        disk.truncate(&name, truncated_length as u64).unwrap();
        let complete = lengths.iter().filter(|length| **length <= truncated_length).count() as u64;
        let (mut store, recovered) = open(&disk).unwrap();
        prop_assert_eq!(recovered.entries.len() as u64, complete * 2);
        store.write(vec![write(complete * 2 + 1..=9, 2)]).unwrap();
        let (_, recovered) = open(&disk).unwrap();
        prop_assert_eq!(recovered.entries.len(), 9);
        prop_assert_eq!(recovered.hard_state.term, 2);
    }

    /// Guards against a start from a log with damage before the last record, where all data was
    /// synced.
    #[test]
    fn damage_before_the_last_record_is_reported(position in 0_usize..400) {
        let (disk, name, lengths) = three_writes();
        let position = position % lengths[1];
        disk.damage_byte(&name, position);
        let e = open(&disk).unwrap_err();
        match e.current_context() {
            lift_disk::DiskError::Damaged { file, offset, .. } => {
                prop_assert_eq!(file, &name);
                prop_assert!(*offset as usize <= position);
            }
            other => prop_assert!(false, "{}", other),
        }
    }

    /// Guards against panics in the decoders on arbitrary bytes.
    #[test]
    fn arbitrary_files_do_not_panic_on_load(buf in prop::collection::vec(any::<u8>(), 0..200)) {
        for name in ["log-00000000000000000001", "snapshot-00000000000000000001", "identity"] {
            let disk = sync::Arc::new(lift_disk::SimulatedDisk::new());
            disk.append(name, &buf).unwrap();
            let _ = open(&disk);
            let _ = lift_disk::IdentityStore::new(disk).load();
        }
    }
}

/// Guards against losing the term and vote when the segment that contains them is deleted.
#[test]
fn compaction_keeps_term_vote_and_later_entries() {
    let disk = sync::Arc::new(lift_disk::SimulatedDisk::new());
    let (mut store, _) = open(&disk).unwrap();
    let large = bytes::Bytes::from(vec![7; 100_000]);
    for index in 1..=20 {
        let mut write = write(index..=index, 3);
        write.hard_state = write.hard_state.filter(|_| index == 1);
        write.entries[0].payload = lift_consensus::Payload::Command(large.clone());
        store.write(vec![write]).unwrap();
        let snapshots = lift_disk::SnapshotStore::new(sync::Arc::clone(&disk) as _);
        snapshots.save(&snapshot(index, 3)).unwrap();
        let compact = lift_consensus::Write {
            compact_to: Some(index),
            ..lift_consensus::Write::default()
        };
        store.write(vec![compact]).unwrap();
    }
    assert!(disk.list().unwrap().len() <= 4, "{:?}", disk.list());
    store
        .write(vec![lift_consensus::Write {
            entries: vec![entry(21, 3)],
            ..lift_consensus::Write::default()
        }])
        .unwrap();
    let (_, recovered) = open(&disk).unwrap();
    assert_eq!(recovered.hard_state.vote, Some(1));
    assert_eq!(recovered.hard_state.term, 3);
    assert_eq!(recovered.snapshot.unwrap().index, 20);
    assert_eq!(recovered.entries.last(), Some(&entry(21, 3)));
}

/// Guards against entries that were replaced by a snapshot of the leader and reappear after a
/// restart.
#[test]
fn installed_snapshot_discards_conflicting_entries() {
    let disk = sync::Arc::new(lift_disk::SimulatedDisk::new());
    let (mut store, _) = open(&disk).unwrap();
    store.write(vec![write(1..=9, 1)]).unwrap();
    let install = lift_consensus::Write {
        install_snapshot: Some(snapshot(5, 2)),
        ..lift_consensus::Write::default()
    };
    store.write(vec![install, write(6..=7, 2)]).unwrap();
    let (_, recovered) = open(&disk).unwrap();
    assert_eq!(recovered.entries, vec![entry(6, 2), entry(7, 2)]);
}

/// Guards against treating a file of another format version as damaged or as valid.
#[test]
fn other_format_version_is_reported() {
    let (disk, name, _) = three_writes();
    let mut buf = disk.read(&name).unwrap();
    buf[8] = 9;
    let checksum = crc32fast::hash(&buf[..18]);
    buf[18..22].copy_from_slice(&checksum.to_le_bytes());
    disk.remove(&name).unwrap();
    disk.append(&name, &buf).unwrap();
    let e = open(&disk).unwrap_err();
    assert!(matches!(
        e.current_context(),
        lift_disk::DiskError::Version { found: 9, .. }
    ));
}

/// Guards against two users of one folder, and against a file system disk that loses records
/// or keeps an incomplete one after it is reopened.
#[test]
fn folder_is_locked_and_files_survive_reopening() {
    let folder = tempfile::tempdir().unwrap();
    let disk = sync::Arc::new(lift_disk::FileDisk::open(folder.path()).unwrap());
    let locked = lift_disk::FileDisk::open(folder.path()).unwrap_err();
    assert!(matches!(
        locked.current_context(),
        lift_disk::DiskError::Locked { .. }
    ));
    let (mut store, _) = lift_disk::LogStore::open(sync::Arc::clone(&disk) as _).unwrap();
    store.write(vec![write(1..=4, 1)]).unwrap();
    let name = disk.list().unwrap().remove(0);
    let length = disk.read(&name).unwrap().len();
    drop((store, disk));
    let disk = sync::Arc::new(lift_disk::FileDisk::open(folder.path()).unwrap());
    disk.append(&name, b"torn").unwrap();
    let (_, recovered) = lift_disk::LogStore::open(sync::Arc::clone(&disk) as _).unwrap();
    assert_eq!(recovered.entries.len(), 4);
    assert_eq!(disk.read(&name).unwrap().len(), length);
}
