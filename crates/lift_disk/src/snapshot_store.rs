//! Snapshots on the disk.

use std::sync;

use error_stack::ResultExt as _;

use crate::{disk, disk_error, file_head};

/// Start of the names of snapshots.
const PREFIX: &str = "snapshot-";

/// End of the names of snapshots that are not complete.
const PARTIAL: &str = ".partial";

const MAGIC: [u8; 8] = *b"MLIFTSNP";

/// Length of the checksum behind the head, in bytes.
const CHECKSUM_BYTES: usize = 4;

/// Saves and loads snapshots. Copies share the disk, so that a snapshot can be saved while
/// another thread writes the log.
#[derive(Clone, Debug)]
pub struct SnapshotStore {
    disk: sync::Arc<dyn disk::Disk>,
}

impl SnapshotStore {
    /// Keeps snapshots on `disk`.
    pub fn new(disk: sync::Arc<dyn disk::Disk>) -> Self {
        Self { disk }
    }

    /// Saves a snapshot durably and removes older ones. It gets its name only once it is
    /// synced, so a snapshot with a name is complete.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails.
    pub fn save(
        &self,
        snapshot: &lift_consensus::Snapshot,
    ) -> Result<(), error_stack::Report<disk_error::DiskError>> {
        let name = name_of(snapshot.index);
        let partial = format!("{name}{PARTIAL}");
        let body = postcard::to_stdvec(snapshot)
            .change_context_lazy(|| disk_error::DiskError::Encode { file: name.clone() })?;
        if self.disk.list()?.contains(&partial) {
            self.disk.remove(&partial)?;
        }
        let mut head = file_head::encode(MAGIC, snapshot.index);
        head.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        self.disk.append(&partial, &head)?;
        self.disk.append(&partial, &body)?;
        self.disk.sync(&partial)?;
        self.disk.rename(&partial, &name)?;
        self.remove_older()
    }

    /// Loads the newest snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails or the snapshot is damaged.
    pub fn load(
        &self,
    ) -> Result<Option<lift_consensus::Snapshot>, error_stack::Report<disk_error::DiskError>> {
        for name in self.disk.list()? {
            if name.starts_with(PREFIX) && name.ends_with(PARTIAL) {
                self.disk.remove(&name)?;
            }
        }
        let Some(newest) = self.indexes()?.into_iter().max() else {
            return Ok(None);
        };
        self.read(newest).map(Some)
    }

    fn read(
        &self,
        index: lift_types::LogIndex,
    ) -> Result<lift_consensus::Snapshot, error_stack::Report<disk_error::DiskError>> {
        let name = name_of(index);
        let buf = self.disk.read(&name)?;
        file_head::check(&buf, MAGIC, index, &name)?;
        let body_start = file_head::HEAD_BYTES + CHECKSUM_BYTES;
        let damaged = || disk_error::DiskError::Damaged {
            file: name.clone(),
            offset: body_start as u64,
            problem: "the checksum of the snapshot is wrong",
        };
        let Some(body) = buf.get(body_start..) else {
            return Err(error_stack::Report::new(damaged()));
        };
        if buf[file_head::HEAD_BYTES..body_start] != crc32fast::hash(body).to_le_bytes() {
            return Err(error_stack::Report::new(damaged()));
        }
        postcard::from_bytes(body).change_context_lazy(damaged)
    }

    fn indexes(
        &self,
    ) -> Result<Vec<lift_types::LogIndex>, error_stack::Report<disk_error::DiskError>> {
        let names = self.disk.list()?;
        let indexes = names.iter().filter_map(|name| name.strip_prefix(PREFIX));
        Ok(indexes.filter_map(|index| index.parse().ok()).collect())
    }

    fn remove_older(&self) -> Result<(), error_stack::Report<disk_error::DiskError>> {
        let indexes = self.indexes()?;
        let newest = indexes.iter().copied().max();
        for index in indexes.into_iter().filter(|index| Some(*index) != newest) {
            self.disk.remove(&name_of(index))?;
        }
        Ok(())
    }
}

fn name_of(index: lift_types::LogIndex) -> String {
    format!("{PREFIX}{index:020}")
}
