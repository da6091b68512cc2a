//! The origin of weights.

use std::{fmt, net};

use crate::{piece_manifest, stage_error};

type Result<T> = std::result::Result<T, error_stack::Report<stage_error::StageError>>;

/// Hands out manifests and pieces. What it sends may be spoilt or cut off.
#[async_trait::async_trait]
pub trait OriginPort: fmt::Debug + Send + Sync {
    /// Opens a connection and closes it again, without a request.
    async fn reach(&self, origin: net::SocketAddr) -> Result<()>;

    /// Manifest of a version, or of the newest one.
    async fn manifest(
        &self,
        origin: net::SocketAddr,
        model: &str,
        version: Option<lift_fleet::WeightsVersion>,
    ) -> Result<piece_manifest::PieceManifest>;

    /// Bytes of a piece, at most `max_bytes`.
    async fn piece(
        &self,
        origin: net::SocketAddr,
        model: &str,
        version: lift_fleet::WeightsVersion,
        index: lift_types::ChunkIndex,
        max_bytes: usize,
    ) -> Result<bytes::Bytes>;
}
