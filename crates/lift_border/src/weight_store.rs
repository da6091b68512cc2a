//! A rate-limited store of chunks.

use std::fmt;

use crate::origin_error;

/// A store of chunks near the hosts, addressed by content and limited in rate.
#[async_trait::async_trait]
pub trait WeightStore: fmt::Debug + Send + Sync {
    /// Reads a chunk. It is not verified here.
    ///
    /// # Errors
    ///
    /// Returns [`origin_error::OriginError::Missing`] where the store lacks the chunk, and
    /// [`origin_error::OriginError::Throttled`] where its rate limit is reached.
    async fn read(
        &self,
        chunk: &lift_types::ChunkHash,
    ) -> Result<bytes::Bytes, error_stack::Report<origin_error::OriginError>>;

    /// Stores a verified chunk.
    ///
    /// # Errors
    ///
    /// Returns an error where the store did not confirm the chunk.
    async fn write(
        &self,
        chunk: &lift_types::ChunkHash,
        bytes: bytes::Bytes,
    ) -> Result<(), error_stack::Report<origin_error::OriginError>>;
}
