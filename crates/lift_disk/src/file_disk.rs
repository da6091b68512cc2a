//! Data folder in the file system.

use std::{fs, io, path, sync};

use error_stack::ResultExt as _;
use io::Write as _;

use crate::{disk, disk_error};

/// Name of the file whose lock prevents a second use of the folder.
const LOCK_NAME: &str = "lock";

type Result<T> = std::result::Result<T, error_stack::Report<disk_error::DiskError>>;

/// Folder in the file system that can be open only once at a time.
#[derive(Debug)]
pub struct FileDisk {
    folder: path::PathBuf,
    /// Handles of open files. The mutex is not held during a write or a sync.
    open_files: parking_lot::Mutex<indexmap::IndexMap<String, sync::Arc<fs::File>>>,
    /// Files whose directory entries are known to be durable.
    synced_names: parking_lot::Mutex<indexmap::IndexSet<String>>,
    _lock: fs::File,
}

impl FileDisk {
    /// Opens and locks `folder`. Creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error where the folder can't be created or its lock can't be acquired.
    pub fn open(folder: impl Into<path::PathBuf>) -> Result<Self> {
        let folder = folder.into();
        let name = folder.display().to_string();
        fs::create_dir_all(&folder).change_context_lazy(|| io_error("create", &name))?;
        let lock = fs::File::create(folder.join(LOCK_NAME))
            .change_context_lazy(|| io_error("create", LOCK_NAME))?;
        lock.try_lock()
            .change_context_lazy(|| disk_error::DiskError::Locked { folder: name })?;
        Ok(Self {
            folder,
            open_files: parking_lot::Mutex::new(indexmap::IndexMap::new()),
            synced_names: parking_lot::Mutex::new(indexmap::IndexSet::new()),
            _lock: lock,
        })
    }

    /// Returns the cached handle of a file. Opens the file, or creates it, if there is none.
    fn open_file(&self, name: &str) -> Result<sync::Arc<fs::File>> {
        if let Some(file) = self.open_files.lock().get(name) {
            return Ok(sync::Arc::clone(file));
        }
        let mut options = fs::OpenOptions::new();
        let opened = options
            .append(true)
            .create(true)
            .open(self.folder.join(name))
            .change_context_lazy(|| io_error("open", name))?;
        let file = sync::Arc::new(opened);
        let mut open_files = self.open_files.lock();
        Ok(sync::Arc::clone(
            open_files.entry(String::from(name)).or_insert(file),
        ))
    }

    /// Makes the directory entries of the folder durable.
    fn sync_folder(&self) -> Result<()> {
        let folder = fs::File::open(&self.folder);
        let synced = folder.and_then(|folder| folder.sync_all());
        synced.change_context_lazy(|| io_error("sync", "the data folder"))
    }
}

impl disk::Disk for FileDisk {
    fn list(&self) -> Result<Vec<String>> {
        let entries = fs::read_dir(&self.folder)
            .change_context_lazy(|| io_error("list", "the data folder"))?;
        let mut names = Vec::new();
        for entry in entries {
            let entry = entry.change_context_lazy(|| io_error("list", "the data folder"))?;
            let name = entry.file_name().to_string_lossy().into_owned();
            if name != LOCK_NAME {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        fs::read(self.folder.join(name)).change_context_lazy(|| io_error("read", name))
    }

    fn append(&self, name: &str, buf: &[u8]) -> Result<()> {
        let file = self.open_file(name)?;
        (&*file)
            .write_all(buf)
            .change_context_lazy(|| io_error("write", name))
    }

    fn sync(&self, name: &str) -> Result<()> {
        let file = self.open_file(name)?;
        file.sync_data()
            .change_context_lazy(|| io_error("sync", name))?;
        if self.synced_names.lock().contains(name) {
            return Ok(());
        }
        self.sync_folder()?;
        self.synced_names.lock().insert(String::from(name));
        Ok(())
    }

    fn truncate(&self, name: &str, length: u64) -> Result<()> {
        let file = self.open_file(name)?;
        file.set_len(length)
            .change_context_lazy(|| io_error("truncate", name))?;
        file.sync_all()
            .change_context_lazy(|| io_error("sync", name))
    }

    fn rename(&self, from: &str, to: &str) -> Result<()> {
        self.open_files.lock().shift_remove(from);
        self.open_files.lock().shift_remove(to);
        self.synced_names.lock().shift_remove(from);
        fs::rename(self.folder.join(from), self.folder.join(to))
            .change_context_lazy(|| io_error("rename", from))?;
        self.sync_folder()
    }

    fn remove(&self, name: &str) -> Result<()> {
        self.open_files.lock().shift_remove(name);
        self.synced_names.lock().shift_remove(name);
        fs::remove_file(self.folder.join(name)).change_context_lazy(|| io_error("remove", name))?;
        self.sync_folder()
    }
}

fn io_error(operation: &'static str, file: &str) -> disk_error::DiskError {
    disk_error::DiskError::Io {
        operation,
        file: String::from(file),
    }
}
