//! Where new weights come from.

use std::{fmt, ops};

use crate::origin_error;

/// The origin of weights.
#[async_trait::async_trait]
pub trait Origin: fmt::Debug + Send + Sync {
    /// Reads the manifest of a version.
    ///
    /// # Errors
    ///
    /// Returns an error where the version is not there or the origin can't be read.
    async fn manifest(
        &self,
        version: &lift_types::VersionId,
    ) -> Result<lift_types::Manifest, error_stack::Report<origin_error::OriginError>>;

    /// Reads a range of bytes of a version. The bytes are not verified here.
    ///
    /// # Errors
    ///
    /// Returns an error where fewer bytes than asked for could be read.
    async fn read(
        &self,
        version: &lift_types::VersionId,
        range: ops::Range<u64>,
    ) -> Result<bytes::Bytes, error_stack::Report<origin_error::OriginError>>;
}
