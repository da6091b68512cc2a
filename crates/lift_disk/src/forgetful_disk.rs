//! A stand-in disk for tests.

use rand::RngExt as _;
use rand::rngs;

use crate::{disk, disk_error};

type Result<T> = std::result::Result<T, error_stack::Report<disk_error::DiskError>>;

/// Files in memory that lose what was not synced when [`ForgetfulDisk::crash`] is called.
#[derive(Debug, Default)]
pub struct ForgetfulDisk {
    state: parking_lot::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    files: indexmap::IndexMap<String, Stored>,
    /// Writes, syncs and renames that still succeed, where limited.
    operations_left: Option<u64>,
}

#[derive(Debug, Default)]
struct Stored {
    content: Vec<u8>,
    /// Bytes that are durable.
    synced: usize,
    /// Whether the name is durable.
    named: bool,
}

impl ForgetfulDisk {
    /// An empty disk.
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets `operations` more writes, syncs and renames succeed and all later ones fail.
    pub fn fail_after(&self, operations: u64) {
        self.state.lock().operations_left = Some(operations);
    }

    /// Loses what was not synced, as when the host fails. Of an unsynced tail, a random part
    /// stays, and bytes of that part may be wrong. The disk works again afterwards.
    pub fn crash(&self, rng: &mut rngs::StdRng) {
        let mut state = self.state.lock();
        state.operations_left = None;
        state.files.retain(|_, file| file.named || rng.random());
        for file in state.files.values_mut() {
            let unsynced = file.content.len() - file.synced;
            let kept = rng.random_range(0..=unsynced);
            file.content.truncate(file.synced + kept);
            if kept > 0 && rng.random() {
                let position = file.synced + rng.random_range(0..kept);
                file.content[position] ^= 0x55;
            }
            file.synced = file.content.len();
            file.named = true;
        }
    }

    /// Inverts the bits of one byte, as when a disk decays.
    pub fn damage(&self, name: &str, position: usize) {
        let mut state = self.state.lock();
        let file = state.files.get_mut(name);
        if let Some(byte) = file.and_then(|file| file.content.get_mut(position)) {
            *byte = !*byte;
        }
    }

    fn change<T>(&self, f: impl FnOnce(&mut indexmap::IndexMap<String, Stored>) -> T) -> Result<T> {
        let mut state = self.state.lock();
        match &mut state.operations_left {
            Some(0) => return Err(error_stack::Report::new(disk_error::DiskError::Failed)),
            Some(left) => *left -= 1,
            None => {}
        }
        Ok(f(&mut state.files))
    }
}

impl disk::Disk for ForgetfulDisk {
    fn list(&self) -> Result<Vec<String>> {
        Ok(self.state.lock().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        let state = self.state.lock();
        let content = state.files.get(name).map(|file| file.content.clone());
        content.ok_or_else(|| error_stack::Report::new(missing(name)))
    }

    fn append(&self, name: &str, buf: &[u8]) -> Result<()> {
        self.change(|files| {
            let file = files.entry(String::from(name)).or_default();
            file.content.extend_from_slice(buf);
        })
    }

    fn sync(&self, name: &str) -> Result<()> {
        self.change(|files| {
            if let Some(file) = files.get_mut(name) {
                file.synced = file.content.len();
                file.named = true;
            }
        })
    }

    fn truncate(&self, name: &str, length: u64) -> Result<()> {
        self.change(|files| {
            if let Some(file) = files.get_mut(name) {
                file.content.truncate(length as usize);
                file.synced = file.content.len();
            }
        })
    }

    fn rename(&self, from: &str, to: &str) -> Result<()> {
        self.change(|files| {
            if let Some(mut file) = files.shift_remove(from) {
                file.named = true;
                files.insert(String::from(to), file);
            }
        })
    }

    fn remove(&self, name: &str) -> Result<()> {
        self.change(|files| {
            files.shift_remove(name);
        })
    }
}

fn missing(name: &str) -> disk_error::DiskError {
    disk_error::DiskError::Io {
        operation: "read",
        file: String::from(name),
    }
}
