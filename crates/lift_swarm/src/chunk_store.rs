//! Verified chunks on disk.

use std::{fs, io, path, sync};

use error_stack::ResultExt as _;
use sync::atomic;

use crate::swarm_error;

/// Number of shards of the index, by content hash.
const SHARDS: usize = 16;

/// Result of a store operation.
type Result<T> = std::result::Result<T, error_stack::Report<swarm_error::SwarmError>>;

/// Whether this process has verified a file against its hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verification {
    Verified,
    /// Found at startup; the file may be damaged or truncated.
    Unverified,
}

/// Chunks on disk, in files named by the hash of their content.
///
/// A chunk is verified before it is stored and, after a restart, before its first use. Files
/// are therefore not synced: a chunk that is truncated or lost in a crash is fetched again.
/// Functions that access files block; call them from a blocking task.
#[derive(Debug)]
pub struct ChunkStore {
    dir: path::PathBuf,
    index: lift_shard::Shards<indexmap::IndexMap<lift_types::ChunkHash, Verification>>,
    temp_number: atomic::AtomicU64,
}

impl ChunkStore {
    /// Opens the store in `dir`, which is created if needed, and indexes the chunks in it. Other
    /// files in `dir` are removed.
    ///
    /// # Errors
    ///
    /// Returns [`swarm_error::SwarmError::Disk`] if the directory can't be read or written.
    pub fn open(dir: path::PathBuf) -> Result<Self> {
        fs::create_dir_all(&dir).change_context(swarm_error::SwarmError::Disk)?;
        let store = Self {
            dir,
            index: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
            temp_number: atomic::AtomicU64::new(0),
        };
        store.index_files()?;
        Ok(store)
    }

    /// Stores `bytes` under `hash` after verifying that they match it.
    ///
    /// # Errors
    ///
    /// Returns [`swarm_error::SwarmError::Corrupt`] if they do not match, and
    /// [`swarm_error::SwarmError::Disk`] if they can't be written.
    pub fn put(&self, hash: &lift_types::ChunkHash, bytes: &[u8]) -> Result<()> {
        if lift_types::ChunkHash::of(bytes) != *hash {
            return Err(error_stack::Report::new(swarm_error::SwarmError::Corrupt));
        }
        if self.verification(hash) == Some(Verification::Verified) {
            return Ok(());
        }
        // The rename is atomic, so that no reader gets a partly written file.
        let temp = self.temp_path();
        let stored = fs::write(&temp, bytes).and_then(|()| fs::rename(&temp, self.path(hash)));
        if let Err(error) = stored {
            // On a full disk, its part would keep the next chunk from being written.
            let _ = fs::remove_file(&temp);
            return Err(error).change_context(swarm_error::SwarmError::Disk);
        }
        self.set_verification(hash, Verification::Verified);
        Ok(())
    }

    /// Returns a chunk, or `None` if it is not stored. A file that is not verified yet and does
    /// not match its hash is removed.
    ///
    /// # Errors
    ///
    /// Returns [`swarm_error::SwarmError::Disk`] if the file can't be read or removed.
    pub fn read(&self, hash: &lift_types::ChunkHash) -> Result<Option<Vec<u8>>> {
        let Some(verification) = self.verification(hash) else {
            return Ok(None);
        };
        let buf = match fs::read(self.path(hash)) {
            Ok(buf) => buf,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                self.remove_from_index(hash);
                return Ok(None);
            }
            Err(error) => {
                return Err(error).change_context(swarm_error::SwarmError::Disk);
            }
        };
        if verification == Verification::Verified {
            return Ok(Some(buf));
        }
        if lift_types::ChunkHash::of(&buf) != *hash {
            self.remove(hash)?;
            return Ok(None);
        }
        self.set_verification(hash, Verification::Verified);
        Ok(Some(buf))
    }

    /// Returns whether the chunk is stored and valid; verifies it if needed.
    ///
    /// # Errors
    ///
    /// Returns [`swarm_error::SwarmError::Disk`] if the file can't be read or removed.
    pub fn verify(&self, hash: &lift_types::ChunkHash) -> Result<bool> {
        match self.verification(hash) {
            None => Ok(false),
            Some(Verification::Verified) => Ok(true),
            Some(Verification::Unverified) => Ok(self.read(hash)?.is_some()),
        }
    }

    /// Returns whether the chunk is stored and was verified before. Does not access the file.
    pub fn is_verified(&self, hash: &lift_types::ChunkHash) -> bool {
        self.verification(hash) == Some(Verification::Verified)
    }

    /// Removes a chunk.
    ///
    /// # Errors
    ///
    /// Returns [`swarm_error::SwarmError::Disk`] if the file can't be removed.
    pub fn remove(&self, hash: &lift_types::ChunkHash) -> Result<()> {
        self.remove_from_index(hash);
        match fs::remove_file(self.path(hash)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                Err(error).change_context(swarm_error::SwarmError::Disk)
            }
            _ => Ok(()),
        }
    }

    /// Returns the hashes of all chunks in the index, including those not verified yet.
    pub fn hashes(&self) -> Vec<lift_types::ChunkHash> {
        self.index.fold(Vec::new(), |mut all, shard| {
            all.extend(shard.keys().copied());
            all
        })
    }

    fn index_files(&self) -> Result<()> {
        let entries = fs::read_dir(&self.dir).change_context(swarm_error::SwarmError::Disk)?;
        for entry in entries {
            let entry = entry.change_context(swarm_error::SwarmError::Disk)?;
            let name = entry.file_name();
            match lift_types::ChunkHash::from_hex(&name.to_string_lossy()) {
                Some(hash) => self.set_verification(&hash, Verification::Unverified),
                // Temporary file of a process that stopped between write and rename.
                None => {
                    fs::remove_file(entry.path()).change_context(swarm_error::SwarmError::Disk)?;
                }
            }
        }
        Ok(())
    }

    fn verification(&self, hash: &lift_types::ChunkHash) -> Option<Verification> {
        self.index.with(hash, |shard| shard.get(hash).copied())
    }

    fn set_verification(&self, hash: &lift_types::ChunkHash, verification: Verification) {
        self.index
            .with(hash, |shard| shard.insert(*hash, verification));
    }

    fn remove_from_index(&self, hash: &lift_types::ChunkHash) {
        self.index.with(hash, |shard| shard.swap_remove(hash));
    }

    fn path(&self, hash: &lift_types::ChunkHash) -> path::PathBuf {
        self.dir.join(hash.to_hex())
    }

    fn temp_path(&self) -> path::PathBuf {
        let number = self.temp_number.fetch_add(1, atomic::Ordering::Relaxed);
        self.dir.join(format!("temp-{number}"))
    }
}
