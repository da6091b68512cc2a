//! Durable log of one member.

use std::{collections, mem, sync};

use crate::{disk, disk_error, record, replay, segment, snapshot_store};

/// Segment length from which the next record starts a new segment, in bytes.
const SEGMENT_ROTATION_THRESHOLD_BYTES: usize = 16 * 1024 * 1024;

/// Segment length from which the next record after a compaction starts a new segment, in
/// bytes. A later compaction can then delete the current segment.
const COMPACTION_ROTATION_THRESHOLD_BYTES: usize = 64 * 1024;

/// Writes the log as records in segments and recovers it at start. Used by one thread, so it has
/// no lock of its own.
#[derive(Debug)]
pub struct LogStore {
    disk: sync::Arc<dyn disk::Disk>,
    snapshots: snapshot_store::SnapshotStore,
    /// Segments in the order of their records. New records are appended to the last one.
    segments: collections::VecDeque<segment::Segment>,
    /// Number of the next record.
    next_number: u64,
    /// Latest term and vote in the log.
    hard_state: lift_consensus::HardState,
}

impl LogStore {
    /// The snapshots on the disk of this log.
    pub fn snapshots(&self) -> snapshot_store::SnapshotStore {
        self.snapshots.clone()
    }

    /// Recovers the state on `disk`. Removes an incomplete record at the end of the log and
    /// partially saved snapshots. If the newest snapshot replaces the log, records that.
    ///
    /// # Errors
    ///
    /// Returns [`disk_error::DiskError::Damaged`] where synced data is damaged, and other
    /// errors where the disk fails or a file has another format version.
    pub fn open(
        disk: sync::Arc<dyn disk::Disk>,
    ) -> Result<(Self, lift_consensus::RecoveredState), error_stack::Report<disk_error::DiskError>>
    {
        let snapshots = snapshot_store::SnapshotStore::new(sync::Arc::clone(&disk));
        let snapshot = snapshots.load()?;
        let names = disk.list()?;
        let mut segments: Vec<_> = names
            .iter()
            .filter_map(|name| segment::Segment::from_name(name))
            .collect();
        segments.sort_unstable_by_key(|segment| segment.first);
        let mut store = Self {
            disk,
            snapshots,
            segments: collections::VecDeque::new(),
            next_number: 1,
            hard_state: lift_consensus::HardState::default(),
        };
        let mut replay = replay::Replay::default();
        let count = segments.len();
        for (i, segment) in segments.into_iter().enumerate() {
            let position = match i + 1 == count {
                true => segment::SegmentPosition::Last,
                false => segment::SegmentPosition::Earlier,
            };
            store.load_segment(segment, position, &mut replay)?;
        }
        if let Some(last) = store.segments.back() {
            // If only the process crashed, records may be readable but not durable yet.
            store.disk.sync(&last.name)?;
        }
        store.hard_state = replay.hard_state();
        let (recovered, reset) = replay.finish(snapshot).map_err(|problem| {
            let name = store.segments.front().map(|segment| segment.name.clone());
            error_stack::Report::new(disk_error::DiskError::Damaged {
                file: name.unwrap_or_default(),
                offset: 0,
                problem,
            })
        })?;
        if reset.is_some() {
            store.append(record::Record {
                reset,
                ..record::Record::default()
            })?;
        }
        Ok((store, recovered))
    }

    /// Reads a segment and applies its records to `replay`.
    fn load_segment(
        &mut self,
        mut segment: segment::Segment,
        position: segment::SegmentPosition,
        replay: &mut replay::Replay,
    ) -> Result<(), error_stack::Report<disk_error::DiskError>> {
        if !self.segments.is_empty() && segment.first != self.next_number {
            return Err(segment.damaged(0, "the segment before this one is missing or truncated"));
        }
        let next = segment.load(&*self.disk, position, |record| replay.apply(record))?;
        self.next_number = next.unwrap_or(segment.first);
        if next.is_some() {
            self.segments.push_back(segment);
        }
        Ok(())
    }

    /// Writes and syncs `writes` in order. They share one record, except that each installed
    /// snapshot starts a new one. After a failure of the host, a record is recovered entirely
    /// or not at all.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails or a write can't be encoded. The member must then
    /// stop, because it is unknown which data is durable.
    pub fn write(
        &mut self,
        writes: Vec<lift_consensus::Write>,
    ) -> Result<(), error_stack::Report<disk_error::DiskError>> {
        let mut record = record::Record::default();
        let mut compact = None;
        for write in writes {
            if let Some(snapshot) = write.install_snapshot {
                self.append(mem::take(&mut record))?;
                self.snapshots.save(&snapshot)?;
                record.reset = Some((snapshot.index, snapshot.term));
            }
            record.hard_state = write.hard_state.or(record.hard_state);
            record.entries.extend(write.entries);
            compact = compact.max(write.compact_to);
        }
        self.append(record)?;
        if let Some(index) = compact {
            self.compact(index)?;
        }
        Ok(())
    }

    /// Writes and syncs a record unless it is empty. Starts a new segment if needed.
    fn append(
        &mut self,
        mut record: record::Record,
    ) -> Result<(), error_stack::Report<disk_error::DiskError>> {
        let only_entries = record.hard_state.is_none() && record.reset.is_none();
        if only_entries && record.entries.is_empty() {
            return Ok(());
        }
        self.hard_state = record.hard_state.unwrap_or(self.hard_state);
        let full = |segment: &segment::Segment| segment.length >= SEGMENT_ROTATION_THRESHOLD_BYTES;
        if self.segments.back().is_none_or(full) {
            // Each segment starts with the term and vote, so that earlier ones can be deleted.
            record.hard_state = Some(self.hard_state);
            self.start_segment()?;
        }
        let Some(segment) = self.segments.back_mut() else {
            return Ok(());
        };
        let number = self.next_number;
        let buf = record::encode(&record, segment.first, number, &segment.name)?;
        self.disk.append(&segment.name, &buf)?;
        self.disk.sync(&segment.name)?;
        let last = record.entries.iter().map(|entry| entry.index).max();
        segment.max_index = segment.max_index.max(last.unwrap_or_default());
        segment.length += buf.len();
        self.next_number += 1;
        Ok(())
    }

    /// Starts a segment. Its header is synced before the first record is written, so an invalid
    /// header that is followed by a complete record is damage and not an incomplete write.
    fn start_segment(&mut self) -> Result<(), error_stack::Report<disk_error::DiskError>> {
        let mut segment = segment::Segment::new(self.next_number);
        let header = segment.header();
        self.disk.append(&segment.name, &header)?;
        self.disk.sync(&segment.name)?;
        segment.length = header.len();
        self.segments.push_back(segment);
        Ok(())
    }

    /// Deletes the oldest segments as long as the snapshot at `index` covers all their entries.
    /// Keeps the last segment, but lets the next record start a new one if it is long enough.
    fn compact(
        &mut self,
        index: lift_types::LogIndex,
    ) -> Result<(), error_stack::Report<disk_error::DiskError>> {
        while self.segments.len() > 1
            && let Some(oldest) = self.segments.front()
            && oldest.max_index <= index
        {
            self.disk.remove(&oldest.name)?;
            self.segments.pop_front();
        }
        if let Some(segment) = self.segments.back_mut()
            && segment.length >= COMPACTION_ROTATION_THRESHOLD_BYTES
        {
            segment.length = SEGMENT_ROTATION_THRESHOLD_BYTES;
        }
        Ok(())
    }
}
