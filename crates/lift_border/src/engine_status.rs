//! State of an engine.

/// What an engine serves and how busy it is. Load reports lag.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EngineStatus {
    /// Version that the engine serves, `None` while it serves nothing.
    pub version: Option<lift_types::VersionId>,
    /// Hash of the whole weights that it has loaded.
    pub whole: Option<lift_types::ChunkHash>,
    /// Fencing token of the last order that it followed.
    pub fencing: lift_types::FencingToken,
    /// Requests in progress.
    pub in_progress: u32,
}
