//! In-memory disk for tests.

use rand::RngExt as _;
use rand::rngs;

use crate::{disk, disk_error};

type Result<T> = std::result::Result<T, error_stack::Report<disk_error::DiskError>>;

/// Files in memory. [`SimulatedDisk::crash`] drops data that is not synced.
#[derive(Debug, Default)]
pub struct SimulatedDisk {
    state: parking_lot::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    files: indexmap::IndexMap<String, SimulatedFile>,
    /// Number of changes and syncs that still succeed, or `None` without a limit.
    operations_left: Option<u64>,
}

#[derive(Debug, Default)]
struct SimulatedFile {
    content: Vec<u8>,
    /// Number of bytes from the start that are durable.
    synced: usize,
    /// Whether the directory entry is durable.
    name_synced: bool,
}

impl SimulatedDisk {
    /// Creates an empty disk that does not fail.
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets `operations` more changes and syncs succeed and all later ones fail, until the next
    /// crash or call. Reading and listing files always succeed.
    pub fn fail_after(&self, operations: u64) {
        self.state.lock().operations_left = Some(operations);
    }

    /// Drops unsynced data, as when the host fails. A file whose name is not durable may be
    /// lost. Of an unsynced tail, a random part remains, and one byte of that part may be
    /// wrong. Ends injected failures.
    pub fn crash(&self, rng: &mut rngs::StdRng) {
        let mut state = self.state.lock();
        state.operations_left = None;
        state
            .files
            .retain(|_, file| file.name_synced || rng.random());
        for file in state.files.values_mut() {
            let unsynced = file.content.len() - file.synced;
            let kept = rng.random_range(0..=unsynced);
            file.content.truncate(file.synced + kept);
            if kept > 0 && rng.random() {
                let position = file.synced + rng.random_range(0..kept);
                file.content[position] ^= 0x55;
            }
            file.synced = file.content.len();
            file.name_synced = true;
        }
    }

    /// Inverts the bits of one byte, to simulate bit rot. Does nothing if the byte does not
    /// exist.
    pub fn damage_byte(&self, name: &str, position: usize) {
        let mut state = self.state.lock();
        let file = state.files.get_mut(name);
        if let Some(byte) = file.and_then(|file| file.content.get_mut(position)) {
            *byte = !*byte;
        }
    }

    /// Runs an operation that counts towards the limit of [`SimulatedDisk::fail_after`].
    fn run_operation<T>(
        &self,
        f: impl FnOnce(&mut indexmap::IndexMap<String, SimulatedFile>) -> T,
    ) -> Result<T> {
        let mut state = self.state.lock();
        match &mut state.operations_left {
            Some(0) => {
                return Err(error_stack::Report::new(
                    disk_error::DiskError::InjectedFailure,
                ));
            }
            Some(left) => *left -= 1,
            None => {}
        }
        Ok(f(&mut state.files))
    }
}

impl disk::Disk for SimulatedDisk {
    fn list(&self) -> Result<Vec<String>> {
        Ok(self.state.lock().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        let state = self.state.lock();
        let content = state.files.get(name).map(|file| file.content.clone());
        content.ok_or_else(|| error_stack::Report::new(missing_file(name)))
    }

    fn append(&self, name: &str, buf: &[u8]) -> Result<()> {
        self.run_operation(|files| {
            let file = files.entry(String::from(name)).or_default();
            file.content.extend_from_slice(buf);
        })
    }

    fn sync(&self, name: &str) -> Result<()> {
        self.run_operation(|files| {
            if let Some(file) = files.get_mut(name) {
                file.synced = file.content.len();
                file.name_synced = true;
            }
        })
    }

    fn truncate(&self, name: &str, length: u64) -> Result<()> {
        self.run_operation(|files| {
            if let Some(file) = files.get_mut(name) {
                file.content.truncate(length as usize);
                file.synced = file.content.len();
            }
        })
    }

    fn rename(&self, from: &str, to: &str) -> Result<()> {
        self.run_operation(|files| {
            if let Some(mut file) = files.shift_remove(from) {
                file.name_synced = true;
                files.insert(String::from(to), file);
            }
        })
    }

    fn remove(&self, name: &str) -> Result<()> {
        self.run_operation(|files| {
            files.shift_remove(name);
        })
    }
}

fn missing_file(name: &str) -> disk_error::DiskError {
    disk_error::DiskError::Io {
        operation: "read",
        file: String::from(name),
    }
}
