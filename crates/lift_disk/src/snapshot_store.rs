//! Storage of snapshots.

use std::sync;

use error_stack::ResultExt as _;

use crate::{disk, disk_error, file_header};

/// Prefix of the names of snapshot files.
const PREFIX: &str = "snapshot-";

/// Suffix of the names of files that are not complete.
const PARTIAL_SUFFIX: &str = ".partial";

const MAGIC: [u8; 8] = *b"MLIFTSNP";

/// Length of the checksum after the header, in bytes.
const CHECKSUM_BYTES: usize = 4;

/// Saves and loads snapshots. Clones share the disk, so that one thread can save a snapshot
/// while another writes the log. All stores of a disk in use must be clones of one: they save one
/// after the other, since each save removes the files of others.
#[derive(Clone, Debug)]
pub struct SnapshotStore {
    disk: sync::Arc<dyn disk::Disk>,
    saving: sync::Arc<parking_lot::Mutex<()>>,
}

impl SnapshotStore {
    /// Creates a store on `disk`.
    pub fn new(disk: sync::Arc<dyn disk::Disk>) -> Self {
        Self {
            disk,
            saving: sync::Arc::default(),
        }
    }

    /// Saves a snapshot durably, then removes all snapshots but the one with the highest index.
    /// The file gets its final name only after it is synced, so a file with that name is
    /// complete.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails or the snapshot can't be encoded.
    pub fn save(
        &self,
        snapshot: &lift_consensus::Snapshot,
    ) -> Result<(), error_stack::Report<disk_error::DiskError>> {
        let name = file_name(snapshot.index);
        let partial = format!("{name}{PARTIAL_SUFFIX}");
        let body = postcard::to_stdvec(snapshot)
            .change_context_lazy(|| disk_error::DiskError::Encode { file: name.clone() })?;
        let _saving = self.saving.lock();
        if self.disk.list()?.contains(&partial) {
            self.disk.remove(&partial)?;
        }
        let mut header = file_header::encode(MAGIC, snapshot.index);
        header.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        self.disk.append(&partial, &header)?;
        self.disk.append(&partial, &body)?;
        self.disk.sync(&partial)?;
        self.disk.rename(&partial, &name)?;
        self.remove_all_but_newest()
    }

    /// Removes partially saved snapshots and loads the newest of the others. Returns `None` if
    /// there is none. Does not fall back to an older snapshot if the newest one is damaged.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails, or the snapshot is damaged or has another format
    /// version.
    pub fn load(
        &self,
    ) -> Result<Option<lift_consensus::Snapshot>, error_stack::Report<disk_error::DiskError>> {
        for name in self.disk.list()? {
            if name.starts_with(PREFIX) && name.ends_with(PARTIAL_SUFFIX) {
                self.disk.remove(&name)?;
            }
        }
        let Some(newest) = self.list_indexes()?.into_iter().max() else {
            return Ok(None);
        };
        self.read(newest).map(Some)
    }

    fn read(
        &self,
        index: lift_types::LogIndex,
    ) -> Result<lift_consensus::Snapshot, error_stack::Report<disk_error::DiskError>> {
        let name = file_name(index);
        let buf = self.disk.read(&name)?;
        file_header::check(&buf, MAGIC, index, &name)?;
        let body_start = file_header::HEADER_BYTES + CHECKSUM_BYTES;
        let damaged = || disk_error::DiskError::Damaged {
            file: name.clone(),
            offset: body_start as u64,
            problem: "the snapshot is incomplete or corrupt",
        };
        let Some(body) = buf.get(body_start..) else {
            return Err(error_stack::Report::new(damaged()));
        };
        if buf[file_header::HEADER_BYTES..body_start] != crc32fast::hash(body).to_le_bytes() {
            return Err(error_stack::Report::new(damaged()));
        }
        postcard::from_bytes(body).change_context_lazy(damaged)
    }

    fn list_indexes(
        &self,
    ) -> Result<Vec<lift_types::LogIndex>, error_stack::Report<disk_error::DiskError>> {
        let names = self.disk.list()?;
        let indexes = names.iter().filter_map(|name| name.strip_prefix(PREFIX));
        Ok(indexes.filter_map(|index| index.parse().ok()).collect())
    }

    fn remove_all_but_newest(&self) -> Result<(), error_stack::Report<disk_error::DiskError>> {
        let indexes = self.list_indexes()?;
        let newest = indexes.iter().copied().max();
        for index in indexes.into_iter().filter(|index| Some(*index) != newest) {
            self.disk.remove(&file_name(index))?;
        }
        Ok(())
    }
}

fn file_name(index: lift_types::LogIndex) -> String {
    format!("{PREFIX}{index:020}")
}
