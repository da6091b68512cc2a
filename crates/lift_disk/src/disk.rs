//! What the log needs from a disk.

use std::fmt;

use crate::disk_error;

/// Named files in one folder. What was not synced may be lost, whole or in part, when the
/// host fails.
pub trait Disk: fmt::Debug + Send + Sync {
    /// Names of all files.
    ///
    /// # Errors
    ///
    /// Returns an error where the folder can't be read.
    fn list(&self) -> Result<Vec<String>, error_stack::Report<disk_error::DiskError>>;

    /// Content of a file.
    ///
    /// # Errors
    ///
    /// Returns an error where the file is missing or can't be read.
    fn read(&self, name: &str) -> Result<Vec<u8>, error_stack::Report<disk_error::DiskError>>;

    /// Adds to the end of a file, which is created where it is missing.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails. A part may have been written.
    fn append(
        &self,
        name: &str,
        buf: &[u8],
    ) -> Result<(), error_stack::Report<disk_error::DiskError>>;

    /// Makes the content and the name of a file durable.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails. Nothing is known then about what is durable.
    fn sync(&self, name: &str) -> Result<(), error_stack::Report<disk_error::DiskError>>;

    /// Cuts a file to `length` bytes, durably.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails.
    fn truncate(
        &self,
        name: &str,
        length: u64,
    ) -> Result<(), error_stack::Report<disk_error::DiskError>>;

    /// Renames a synced file, durably. Replaces a file that has the new name.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails.
    fn rename(
        &self,
        from: &str,
        to: &str,
    ) -> Result<(), error_stack::Report<disk_error::DiskError>>;

    /// Removes a file, durably.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails.
    fn remove(&self, name: &str) -> Result<(), error_stack::Report<disk_error::DiskError>>;
}
