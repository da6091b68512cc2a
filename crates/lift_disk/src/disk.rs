//! Storage interface of the log, the snapshots and the identity.

use std::fmt;

use crate::disk_error;

/// Named files in one folder. Data that is not synced may be lost, entirely or in part, when
/// the host fails.
pub trait Disk: fmt::Debug + Send + Sync {
    /// Returns the names of all files except a lock file, in no particular order.
    ///
    /// # Errors
    ///
    /// Returns an error where the folder can't be read.
    fn list(&self) -> Result<Vec<String>, error_stack::Report<disk_error::DiskError>>;

    /// Returns the content of a file.
    ///
    /// # Errors
    ///
    /// Returns an error where the file is missing or can't be read.
    fn read(&self, name: &str) -> Result<Vec<u8>, error_stack::Report<disk_error::DiskError>>;

    /// Appends `buf` to a file. Creates the file if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails. A part of `buf` may have been written.
    fn append(
        &self,
        name: &str,
        buf: &[u8],
    ) -> Result<(), error_stack::Report<disk_error::DiskError>>;

    /// Makes the content and the name of a file durable.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails. It is then unknown which data is durable.
    fn sync(&self, name: &str) -> Result<(), error_stack::Report<disk_error::DiskError>>;

    /// Truncates a file to `length` bytes and makes the new length durable.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails.
    fn truncate(
        &self,
        name: &str,
        length: u64,
    ) -> Result<(), error_stack::Report<disk_error::DiskError>>;

    /// Renames a synced file and makes the new name durable. Replaces an existing file with the
    /// new name.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails.
    fn rename(
        &self,
        from: &str,
        to: &str,
    ) -> Result<(), error_stack::Report<disk_error::DiskError>>;

    /// Removes a file and makes the removal durable.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails.
    fn remove(&self, name: &str) -> Result<(), error_stack::Report<disk_error::DiskError>>;
}
