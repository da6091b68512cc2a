//! Order to load weights.

use std::path;

/// Tells an engine which weights to load, and from where.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadOrder {
    /// Version to load.
    pub version: lift_types::VersionId,
    /// File that holds the whole, verified weights.
    pub file: path::PathBuf,
    /// Hash of the whole weights.
    pub whole: lift_types::ChunkHash,
    /// Token of the order. An engine that checks it refuses lower ones.
    pub fencing: lift_types::FencingToken,
}
