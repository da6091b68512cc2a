//! Verified chunks on disk.

use std::{fs, io, path, sync};

use error_stack::ResultExt as _;
use sync::atomic;

use crate::swarm_error;

/// Shards of the index, by content hash.
const SHARDS: usize = 16;

/// Result of a store operation.
type Result<T> = std::result::Result<T, error_stack::Report<swarm_error::SwarmError>>;

/// Whether a file was compared with its hash by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Check {
    Verified,
    /// Found at the start; it may be damaged or cut.
    Unverified,
}

/// Files named by the hash of their content.
///
/// A chunk is verified before it is stored and, after a restart, before its first use. So a
/// crash needs no sync here: a file that is cut or lost is fetched again. All functions
/// block; call them from a blocking task.
#[derive(Debug)]
pub struct ChunkStore {
    dir: path::PathBuf,
    index: lift_shard::Shards<indexmap::IndexMap<lift_types::ChunkHash, Check>>,
    temp_number: atomic::AtomicU64,
}

impl ChunkStore {
    /// Opens the store in `dir`, which is created if needed, and lists its files.
    ///
    /// # Errors
    ///
    /// Returns an error where the directory can't be read or written.
    pub fn open(dir: path::PathBuf) -> Result<Self> {
        fs::create_dir_all(&dir).change_context(swarm_error::SwarmError::Disk)?;
        let store = Self {
            dir,
            index: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
            temp_number: atomic::AtomicU64::new(0),
        };
        store.list()?;
        Ok(store)
    }

    /// Stores `bytes` under `hash` after comparing them.
    ///
    /// # Errors
    ///
    /// Returns [`swarm_error::SwarmError::Corrupt`] where they do not match, and
    /// [`swarm_error::SwarmError::Disk`] where they can't be written.
    pub fn put(&self, hash: &lift_types::ChunkHash, bytes: &[u8]) -> Result<()> {
        if lift_types::ChunkHash::of(bytes) != *hash {
            return Err(error_stack::Report::new(swarm_error::SwarmError::Corrupt));
        }
        if self.check(hash) == Some(Check::Verified) {
            return Ok(());
        }
        // Renaming makes sure that no reader sees a part of the file.
        let temp = self.temp();
        fs::write(&temp, bytes).change_context(swarm_error::SwarmError::Disk)?;
        fs::rename(&temp, self.path(hash)).change_context(swarm_error::SwarmError::Disk)?;
        self.set(hash, Check::Verified);
        Ok(())
    }

    /// Reads a chunk, or `None` where it is not stored. A file that does not match its hash
    /// is removed.
    ///
    /// # Errors
    ///
    /// Returns [`swarm_error::SwarmError::Disk`] where the file can't be read.
    pub fn read(&self, hash: &lift_types::ChunkHash) -> Result<Option<Vec<u8>>> {
        let Some(check) = self.check(hash) else {
            return Ok(None);
        };
        let buf = match fs::read(self.path(hash)) {
            Ok(buf) => buf,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                self.forget(hash);
                return Ok(None);
            }
            Err(error) => {
                return Err(error).change_context(swarm_error::SwarmError::Disk);
            }
        };
        if check == Check::Verified {
            return Ok(Some(buf));
        }
        if lift_types::ChunkHash::of(&buf) != *hash {
            self.remove(hash)?;
            return Ok(None);
        }
        self.set(hash, Check::Verified);
        Ok(Some(buf))
    }

    /// Whether the chunk is stored and verified; verifies it if needed.
    ///
    /// # Errors
    ///
    /// Returns [`swarm_error::SwarmError::Disk`] where the file can't be read.
    pub fn verify(&self, hash: &lift_types::ChunkHash) -> Result<bool> {
        match self.check(hash) {
            None => Ok(false),
            Some(Check::Verified) => Ok(true),
            Some(Check::Unverified) => Ok(self.read(hash)?.is_some()),
        }
    }

    /// Whether the chunk is known to be verified. Does not block.
    pub fn is_verified(&self, hash: &lift_types::ChunkHash) -> bool {
        self.check(hash) == Some(Check::Verified)
    }

    /// Removes a chunk.
    ///
    /// # Errors
    ///
    /// Returns [`swarm_error::SwarmError::Disk`] where the file can't be removed.
    pub fn remove(&self, hash: &lift_types::ChunkHash) -> Result<()> {
        self.forget(hash);
        match fs::remove_file(self.path(hash)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                Err(error).change_context(swarm_error::SwarmError::Disk)
            }
            _ => Ok(()),
        }
    }

    /// Hashes of all stored chunks.
    pub fn hashes(&self) -> Vec<lift_types::ChunkHash> {
        self.index.fold(Vec::new(), |mut all, shard| {
            all.extend(shard.keys().copied());
            all
        })
    }

    fn list(&self) -> Result<()> {
        let entries = fs::read_dir(&self.dir).change_context(swarm_error::SwarmError::Disk)?;
        for entry in entries {
            let entry = entry.change_context(swarm_error::SwarmError::Disk)?;
            let name = entry.file_name();
            match lift_types::ChunkHash::from_hex(&name.to_string_lossy()) {
                Some(hash) => self.set(&hash, Check::Unverified),
                // Left by a process that stopped between write and rename.
                None => {
                    fs::remove_file(entry.path()).change_context(swarm_error::SwarmError::Disk)?;
                }
            }
        }
        Ok(())
    }

    fn check(&self, hash: &lift_types::ChunkHash) -> Option<Check> {
        self.index.with(hash, |shard| shard.get(hash).copied())
    }

    fn set(&self, hash: &lift_types::ChunkHash, check: Check) {
        self.index.with(hash, |shard| shard.insert(*hash, check));
    }

    fn forget(&self, hash: &lift_types::ChunkHash) {
        self.index.with(hash, |shard| shard.swap_remove(hash));
    }

    fn path(&self, hash: &lift_types::ChunkHash) -> path::PathBuf {
        self.dir.join(hash.to_hex())
    }

    fn temp(&self) -> path::PathBuf {
        let number = self.temp_number.fetch_add(1, atomic::Ordering::Relaxed);
        self.dir.join(format!("temp-{number}"))
    }
}
