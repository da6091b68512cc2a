//! Complete versions on disk.

use std::{fs, io, path, sync};

use error_stack::ResultExt as _;
use io::{Read as _, Write as _};
use sync::atomic;

use crate::{chunk_store, swarm_error};

/// Size of the read buffer for verifying a weights file, in bytes.
const READ_BYTES: usize = 256 * 1024;

/// Prefix of the names of files that are not complete.
const TEMP_PREFIX: &str = "temp-";

/// Result of a store operation.
type Result<T> = std::result::Result<T, error_stack::Report<swarm_error::SwarmError>>;

/// Manifests and weights files of the versions on a host, least recently used first.
///
/// The engine loads the weights file. It is assembled one chunk at a time, so memory does not
/// grow with the size of a version. All functions except [`VersionStore::manifest`] block.
#[derive(Debug)]
pub struct VersionStore {
    dir: path::PathBuf,
    chunks: sync::Arc<chunk_store::ChunkStore>,
    versions: parking_lot::Mutex<indexmap::IndexMap<lift_types::VersionId, StoredVersion>>,
    temp_number: atomic::AtomicU64,
}

/// A version whose manifest is stored.
#[derive(Clone, Debug)]
struct StoredVersion {
    manifest: sync::Arc<lift_types::Manifest>,
    /// Whether this process has verified the weights file.
    file: FileState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FileState {
    Verified,
    Unverified,
}

impl VersionStore {
    /// Opens the store in `dir`, which is created if needed, and reads the manifests in it.
    /// Files that an earlier process has not completed are removed.
    ///
    /// # Errors
    ///
    /// Returns [`swarm_error::SwarmError::Disk`] if the directory can't be read or written.
    pub fn open(dir: path::PathBuf, chunks: sync::Arc<chunk_store::ChunkStore>) -> Result<Self> {
        fs::create_dir_all(&dir).change_context(swarm_error::SwarmError::Disk)?;
        let versions = parking_lot::Mutex::new(read_manifests(&dir)?);
        Ok(Self {
            dir,
            chunks,
            versions,
            temp_number: atomic::AtomicU64::new(0),
        })
    }

    /// Returns the manifest of a version, or `None` if it is not stored.
    pub fn manifest(&self, version: &str) -> Option<sync::Arc<lift_types::Manifest>> {
        let versions = self.versions.lock();
        versions.get(version).map(|stored| stored.manifest.clone())
    }

    /// Stores a manifest and marks its version as the most recently used one.
    ///
    /// # Errors
    ///
    /// Returns [`swarm_error::SwarmError::Disk`] if it can't be written.
    pub fn insert(&self, manifest: &sync::Arc<lift_types::Manifest>) -> Result<()> {
        let text =
            serde_json::to_vec(manifest.as_ref()).change_context(swarm_error::SwarmError::Disk)?;
        let path = self.path(manifest, "json");
        self.write_whole(&path, |temp| {
            fs::write(temp, text).change_context(swarm_error::SwarmError::Disk)
        })?;
        let mut versions = self.versions.lock();
        let file = versions
            .shift_remove(&manifest.version)
            .filter(|stored| stored.manifest == *manifest)
            .map_or(FileState::Unverified, |stored| stored.file);
        let manifest = manifest.clone();
        versions.insert(manifest.version.clone(), StoredVersion { manifest, file });
        Ok(())
    }

    /// Returns the path of the weights file. Unless this process has verified the file before,
    /// verifies it, and assembles it from the chunks if it is missing or corrupt.
    ///
    /// # Errors
    ///
    /// Returns [`swarm_error::SwarmError::Missing`] if a chunk is not stored,
    /// [`swarm_error::SwarmError::Corrupt`] if the assembled weights do not match their hash,
    /// and [`swarm_error::SwarmError::Disk`] if a file can't be read or written.
    pub fn assemble(&self, manifest: &lift_types::Manifest) -> Result<path::PathBuf> {
        let path = self.path(manifest, "weights");
        let is_verified = {
            let versions = self.versions.lock();
            let stored = versions.get(&manifest.version);
            stored.is_some_and(|stored| stored.file == FileState::Verified)
        };
        if is_verified || hash_file(&path).is_some_and(|hash| hash == manifest.whole) {
            self.set_verified(manifest);
            return Ok(path);
        }
        self.write_weights(manifest, &path)?;
        self.set_verified(manifest);
        Ok(path)
    }

    /// Removes the least recently used versions, except those in `used`, until at most `limit`
    /// are left. If any was removed, also removes the chunks that no remaining version needs.
    /// Returns the removed versions.
    ///
    /// # Errors
    ///
    /// Returns [`swarm_error::SwarmError::Disk`] if a chunk can't be removed. Failures to remove
    /// manifests and weights files are ignored.
    pub fn trim(
        &self,
        limit: usize,
        used: &[lift_types::VersionId],
    ) -> Result<Vec<lift_types::VersionId>> {
        let (removed, kept) = self.take_excess(limit, used);
        for manifest in &removed {
            for extension in ["weights", "json"] {
                let _ = fs::remove_file(self.path(manifest, extension));
            }
        }
        if removed.is_empty() {
            return Ok(Vec::new());
        }
        let needed: indexmap::IndexSet<_> = kept.iter().flat_map(|m| &m.chunks).collect();
        for hash in self.chunks.hashes() {
            if !needed.contains(&hash) {
                self.chunks.remove(&hash)?;
            }
        }
        Ok(removed.into_iter().map(|m| m.version.clone()).collect())
    }

    /// Removes the excess versions from the index. Returns the removed and the kept manifests.
    fn take_excess(&self, limit: usize, used: &[lift_types::VersionId]) -> (Manifests, Manifests) {
        let mut versions = self.versions.lock();
        let mut excess = versions.len().saturating_sub(limit);
        let mut removed = Vec::new();
        versions.retain(|version, stored| {
            if excess == 0 || used.contains(version) {
                return true;
            }
            excess -= 1;
            removed.push(stored.manifest.clone());
            false
        });
        let kept = versions.values().map(|stored| stored.manifest.clone());
        (removed, kept.collect())
    }

    fn write_weights(&self, manifest: &lift_types::Manifest, path: &path::Path) -> Result<()> {
        self.write_whole(path, |temp| self.write_chunks(manifest, temp))
    }

    /// Writes a file under a temporary name and renames it. A file that can't be written is
    /// removed: on a full disk, it would keep the next one from being written.
    fn write_whole(
        &self,
        path: &path::Path,
        write: impl FnOnce(&path::Path) -> Result<()>,
    ) -> Result<()> {
        let number = self.temp_number.fetch_add(1, atomic::Ordering::Relaxed);
        let temp = self.dir.join(format!("{TEMP_PREFIX}{number}"));
        let written = write(&temp)
            .and_then(|()| fs::rename(&temp, path).change_context(swarm_error::SwarmError::Disk));
        if written.is_err() {
            let _ = fs::remove_file(&temp);
        }
        written
    }

    fn write_chunks(&self, manifest: &lift_types::Manifest, temp: &path::Path) -> Result<()> {
        let mut file = fs::File::create(temp).change_context(swarm_error::SwarmError::Disk)?;
        let mut hasher = blake3::Hasher::new();
        for hash in &manifest.chunks {
            let Some(buf) = self.chunks.read(hash)? else {
                return Err(error_stack::Report::new(swarm_error::SwarmError::Missing));
            };
            hasher.update(&buf);
            file.write_all(&buf)
                .change_context(swarm_error::SwarmError::Disk)?;
        }
        if *hasher.finalize().as_bytes() != manifest.whole.0 {
            return Err(error_stack::Report::new(swarm_error::SwarmError::Corrupt));
        }
        Ok(())
    }

    fn set_verified(&self, manifest: &lift_types::Manifest) {
        if let Some(stored) = self.versions.lock().get_mut(&manifest.version) {
            stored.file = FileState::Verified;
        }
    }

    fn path(&self, manifest: &lift_types::Manifest, extension: &str) -> path::PathBuf {
        let name = manifest.whole.to_hex();
        self.dir.join(format!("{name}.{extension}"))
    }
}

/// Manifests, least recently used first.
type Manifests = Vec<sync::Arc<lift_types::Manifest>>;

/// Reads the manifests in `dir`, oldest file first. Unreadable and damaged ones are skipped.
fn read_manifests(
    dir: &path::Path,
) -> Result<indexmap::IndexMap<lift_types::VersionId, StoredVersion>> {
    let mut found = Vec::new();
    let entries = fs::read_dir(dir).change_context(swarm_error::SwarmError::Disk)?;
    for entry in entries {
        let entry = entry.change_context(swarm_error::SwarmError::Disk)?;
        if entry.file_name().to_string_lossy().starts_with(TEMP_PREFIX) {
            let _ = fs::remove_file(entry.path());
            continue;
        }
        if entry.path().extension().is_none_or(|e| e != "json") {
            continue;
        }
        let Ok(text) = fs::read(entry.path()) else {
            continue;
        };
        let modified = entry.metadata().and_then(|m| m.modified()).ok();
        if let Ok(manifest) = serde_json::from_slice::<lift_types::Manifest>(&text) {
            found.push((modified, sync::Arc::new(manifest)));
        }
    }
    found.sort_by_key(|(modified, _)| *modified);
    let stored = found.into_iter().map(|(_, manifest)| {
        let file = FileState::Unverified;
        (manifest.version.clone(), StoredVersion { manifest, file })
    });
    Ok(stored.collect())
}

fn hash_file(path: &path::Path) -> Option<lift_types::ChunkHash> {
    let mut file = fs::File::open(path).ok()?;
    let mut hasher = blake3::Hasher::new();
    let mut buf = vec![0; READ_BYTES];
    loop {
        let read = file.read(&mut buf).ok()?;
        if read == 0 {
            return Some(lift_types::ChunkHash(*hasher.finalize().as_bytes()));
        }
        hasher.update(&buf[..read]);
    }
}
