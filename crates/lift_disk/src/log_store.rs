//! The log of one member on its disk.

use std::{collections, mem, sync};

use crate::{disk, disk_error, record, replay, segment, snapshot_store};

/// Length from which a new segment is started, in bytes.
const SEGMENT_BYTES: usize = 16 * 1024 * 1024;

/// Length from which a compaction starts a new segment, in bytes, so that the next one can
/// delete the present segment.
const COMPACTED_SEGMENT_BYTES: usize = 64 * 1024;

/// Writes records to segments. Used by one thread.
#[derive(Debug)]
pub struct LogStore {
    disk: sync::Arc<dyn disk::Disk>,
    snapshots: snapshot_store::SnapshotStore,
    /// The last one is written to.
    segments: collections::VecDeque<segment::Segment>,
    next_number: u64,
    hard_state: lift_consensus::HardState,
}

impl LogStore {
    /// Reads what `disk` holds.
    ///
    /// # Errors
    ///
    /// Returns [`disk_error::DiskError::Damaged`] where synced data is damaged, and other
    /// errors where the disk fails. An incomplete record at the end is cut instead.
    pub fn open(
        disk: sync::Arc<dyn disk::Disk>,
    ) -> Result<(Self, lift_consensus::RecoveredState), error_stack::Report<disk_error::DiskError>>
    {
        let snapshots = snapshot_store::SnapshotStore::new(sync::Arc::clone(&disk));
        let snapshot = snapshots.load()?;
        let names = disk.list()?;
        let mut found: Vec<_> = names
            .iter()
            .filter_map(|name| segment::Segment::from_name(name))
            .collect();
        found.sort_unstable_by_key(|segment| segment.first);
        let mut store = Self {
            disk,
            snapshots,
            segments: collections::VecDeque::new(),
            next_number: 1,
            hard_state: lift_consensus::HardState::default(),
        };
        let mut replay = replay::Replay::default();
        let count = found.len();
        for (position, segment) in found.into_iter().enumerate() {
            let place = match position + 1 == count {
                true => segment::Place::Last,
                false => segment::Place::Earlier,
            };
            store.load(segment, place, &mut replay)?;
        }
        if let Some(last) = store.segments.back() {
            // After a crash of the process alone, records may be readable but not durable.
            store.disk.sync(&last.name)?;
        }
        store.hard_state = replay.hard_state();
        let (restored, dropped) = replay.finish(snapshot).map_err(|problem| {
            let name = store.segments.front().map(|segment| segment.name.clone());
            error_stack::Report::new(disk_error::DiskError::Damaged {
                file: name.unwrap_or_default(),
                offset: 0,
                problem,
            })
        })?;
        if dropped.is_some() {
            store.append(record::Record {
                reset: dropped,
                ..record::Record::default()
            })?;
        }
        Ok((store, restored))
    }

    fn load(
        &mut self,
        mut segment: segment::Segment,
        place: segment::Place,
        replay: &mut replay::Replay,
    ) -> Result<(), error_stack::Report<disk_error::DiskError>> {
        if !self.segments.is_empty() && segment.first != self.next_number {
            return Err(segment.damaged(0, "the segment before this one is missing or cut"));
        }
        let next = segment.load(&*self.disk, place, |record| replay.take(record))?;
        self.next_number = next.unwrap_or(segment.first);
        if next.is_some() {
            self.segments.push_back(segment);
        }
        Ok(())
    }

    /// Writes and syncs `writes` in order, as one record where possible. All or none of a
    /// record is found after a failure of the host.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails. The member must then stop: nothing is known
    /// about what is durable.
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

    fn append(
        &mut self,
        mut record: record::Record,
    ) -> Result<(), error_stack::Report<disk_error::DiskError>> {
        let empty = record.hard_state.is_none() && record.reset.is_none();
        if empty && record.entries.is_empty() {
            return Ok(());
        }
        self.hard_state = record.hard_state.unwrap_or(self.hard_state);
        let full = |segment: &segment::Segment| segment.length >= SEGMENT_BYTES;
        if self.segments.back().is_none_or(full) {
            // Each segment repeats term and vote, so that earlier ones can be deleted.
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

    /// Starts a segment. Its head is synced before the first record is written, so that a
    /// wrong head with a whole record behind it is damage and not an incomplete write.
    fn start_segment(&mut self) -> Result<(), error_stack::Report<disk_error::DiskError>> {
        let mut segment = segment::Segment::new(self.next_number);
        let head = segment.head();
        self.disk.append(&segment.name, &head)?;
        self.disk.sync(&segment.name)?;
        segment.length = head.len();
        self.segments.push_back(segment);
        Ok(())
    }

    /// Deletes the oldest segments whose entries are all covered by the snapshot at `index`.
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
            && segment.length >= COMPACTED_SEGMENT_BYTES
        {
            segment.length = SEGMENT_BYTES;
        }
        Ok(())
    }
}
