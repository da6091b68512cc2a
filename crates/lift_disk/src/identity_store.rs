//! Storage of the identity of a member.

use std::sync;

use error_stack::ResultExt as _;

use crate::{disk, disk_error, file_header, identity};

const NAME: &str = "identity";

const MAGIC: [u8; 8] = *b"MLIFTIDN";

/// Loads and saves the identity of a member on its disk.
#[derive(Clone, Debug)]
pub struct IdentityStore {
    disk: sync::Arc<dyn disk::Disk>,
}

impl IdentityStore {
    /// Creates a store on `disk`.
    pub fn new(disk: sync::Arc<dyn disk::Disk>) -> Self {
        Self { disk }
    }

    /// Loads the identity. Returns `None` if the disk has no identity file.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails, or the file is damaged or has another format
    /// version.
    pub fn load(
        &self,
    ) -> Result<Option<identity::Identity>, error_stack::Report<disk_error::DiskError>> {
        if !self.disk.list()?.iter().any(|name| name == NAME) {
            return Ok(None);
        }
        let buf = self.disk.read(NAME)?;
        let damaged = || disk_error::DiskError::Damaged {
            file: String::from(NAME),
            offset: file_header::HEADER_BYTES as u64,
            problem: "the identity is incomplete or corrupt",
        };
        let Some(body) = buf.get(file_header::HEADER_BYTES..) else {
            return Err(error_stack::Report::new(damaged()));
        };
        let number = u64::from(crc32fast::hash(body));
        file_header::check(&buf, MAGIC, number, NAME)?;
        postcard::from_bytes(body)
            .map(Some)
            .change_context_lazy(damaged)
    }

    /// Saves the identity durably and replaces an earlier one atomically.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails or the identity can't be encoded.
    pub fn save(
        &self,
        identity: &identity::Identity,
    ) -> Result<(), error_stack::Report<disk_error::DiskError>> {
        let partial = format!("{NAME}.partial");
        let body = postcard::to_stdvec(identity).change_context_lazy(|| {
            disk_error::DiskError::Encode {
                file: String::from(NAME),
            }
        })?;
        if self.disk.list()?.contains(&partial) {
            self.disk.remove(&partial)?;
        }
        let mut buf = file_header::encode(MAGIC, u64::from(crc32fast::hash(&body)));
        buf.extend_from_slice(&body);
        self.disk.append(&partial, &buf)?;
        self.disk.sync(&partial)?;
        self.disk.rename(&partial, NAME)
    }
}
