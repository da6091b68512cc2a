//! Whose disk this is.

use std::sync;

use error_stack::ResultExt as _;

use crate::{disk, disk_error, file_head, identity};

const NAME: &str = "identity";

const MAGIC: [u8; 8] = *b"MLIFTIDN";

/// Keeps the identity of a member on its disk.
#[derive(Clone, Debug)]
pub struct IdentityStore {
    disk: sync::Arc<dyn disk::Disk>,
}

impl IdentityStore {
    /// Keeps the identity on `disk`.
    pub fn new(disk: sync::Arc<dyn disk::Disk>) -> Self {
        Self { disk }
    }

    /// Loads the identity, or `None` on an empty disk.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails or the file is damaged.
    pub fn load(
        &self,
    ) -> Result<Option<identity::Identity>, error_stack::Report<disk_error::DiskError>> {
        if !self.disk.list()?.iter().any(|name| name == NAME) {
            return Ok(None);
        }
        let buf = self.disk.read(NAME)?;
        let damaged = || disk_error::DiskError::Damaged {
            file: String::from(NAME),
            offset: file_head::HEAD_BYTES as u64,
            problem: "the identity is unreadable",
        };
        let Some(body) = buf.get(file_head::HEAD_BYTES..) else {
            return Err(error_stack::Report::new(damaged()));
        };
        let number = u64::from(crc32fast::hash(body));
        file_head::check(&buf, MAGIC, number, NAME)?;
        postcard::from_bytes(body)
            .map(Some)
            .change_context_lazy(damaged)
    }

    /// Saves the identity durably. Replaces an earlier one as a whole.
    ///
    /// # Errors
    ///
    /// Returns an error where the disk fails.
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
        let mut buf = file_head::encode(MAGIC, u64::from(crc32fast::hash(&body)));
        buf.extend_from_slice(&body);
        self.disk.append(&partial, &buf)?;
        self.disk.sync(&partial)?;
        self.disk.rename(&partial, NAME)
    }
}
