//! Files of the operating system.

use std::{fs, io, path, sync};

use error_stack::ResultExt as _;
use io::Write as _;

use crate::{disk, disk_error};

/// Name of the file that one process at a time holds locked.
const LOCK_NAME: &str = "lock";

type Result<T> = std::result::Result<T, error_stack::Report<disk_error::DiskError>>;

/// A folder that one process uses at a time.
#[derive(Debug)]
pub struct FileDisk {
    folder: path::PathBuf,
    /// Open files. The lock is not held across a write or a sync.
    open: parking_lot::Mutex<indexmap::IndexMap<String, sync::Arc<fs::File>>>,
    /// Files whose names are durable.
    named: parking_lot::Mutex<indexmap::IndexSet<String>>,
    _lock: fs::File,
}

impl FileDisk {
    /// Opens `folder` and creates it where it is missing.
    ///
    /// # Errors
    ///
    /// Returns an error where the folder can't be used or another process uses it.
    pub fn open(folder: impl Into<path::PathBuf>) -> Result<Self> {
        let folder = folder.into();
        let name = folder.display().to_string();
        fs::create_dir_all(&folder).change_context_lazy(|| failed("create", &name))?;
        let lock = fs::File::create(folder.join(LOCK_NAME))
            .change_context_lazy(|| failed("create", LOCK_NAME))?;
        lock.try_lock()
            .change_context_lazy(|| disk_error::DiskError::Locked { folder: name })?;
        Ok(Self {
            folder,
            open: parking_lot::Mutex::new(indexmap::IndexMap::new()),
            named: parking_lot::Mutex::new(indexmap::IndexSet::new()),
            _lock: lock,
        })
    }

    fn handle(&self, name: &str) -> Result<sync::Arc<fs::File>> {
        if let Some(file) = self.open.lock().get(name) {
            return Ok(sync::Arc::clone(file));
        }
        let mut options = fs::OpenOptions::new();
        let opened = options
            .append(true)
            .create(true)
            .open(self.folder.join(name))
            .change_context_lazy(|| failed("open", name))?;
        let file = sync::Arc::new(opened);
        let mut open = self.open.lock();
        Ok(sync::Arc::clone(
            open.entry(String::from(name)).or_insert(file),
        ))
    }

    /// Makes the names in the folder durable.
    fn sync_folder(&self) -> Result<()> {
        let folder = fs::File::open(&self.folder);
        let synced = folder.and_then(|folder| folder.sync_all());
        synced.change_context_lazy(|| failed("sync", "the data folder"))
    }
}

impl disk::Disk for FileDisk {
    fn list(&self) -> Result<Vec<String>> {
        let entries =
            fs::read_dir(&self.folder).change_context_lazy(|| failed("list", "the data folder"))?;
        let mut names = Vec::new();
        for entry in entries {
            let entry = entry.change_context_lazy(|| failed("list", "the data folder"))?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if name != LOCK_NAME {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        fs::read(self.folder.join(name)).change_context_lazy(|| failed("read", name))
    }

    fn append(&self, name: &str, buf: &[u8]) -> Result<()> {
        let file = self.handle(name)?;
        (&*file)
            .write_all(buf)
            .change_context_lazy(|| failed("write", name))
    }

    fn sync(&self, name: &str) -> Result<()> {
        let file = self.handle(name)?;
        file.sync_data()
            .change_context_lazy(|| failed("sync", name))?;
        if self.named.lock().contains(name) {
            return Ok(());
        }
        self.sync_folder()?;
        self.named.lock().insert(String::from(name));
        Ok(())
    }

    fn truncate(&self, name: &str, length: u64) -> Result<()> {
        let file = self.handle(name)?;
        file.set_len(length)
            .change_context_lazy(|| failed("truncate", name))?;
        file.sync_all().change_context_lazy(|| failed("sync", name))
    }

    fn rename(&self, from: &str, to: &str) -> Result<()> {
        self.open.lock().shift_remove(from);
        self.open.lock().shift_remove(to);
        self.named.lock().shift_remove(from);
        fs::rename(self.folder.join(from), self.folder.join(to))
            .change_context_lazy(|| failed("rename", from))?;
        self.sync_folder()
    }

    fn remove(&self, name: &str) -> Result<()> {
        self.open.lock().shift_remove(name);
        self.named.lock().shift_remove(name);
        fs::remove_file(self.folder.join(name)).change_context_lazy(|| failed("remove", name))?;
        self.sync_folder()
    }
}

fn failed(operation: &'static str, file: &str) -> disk_error::DiskError {
    disk_error::DiskError::Io {
        operation,
        file: String::from(file),
    }
}
