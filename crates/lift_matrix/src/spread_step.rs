//! Steps of a journey.

/// Step of the spread of a version, at the host that the fault hits.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum SpreadStep {
    /// The host has learned of the version and read its manifest.
    ManifestRead,
    /// It has requested its first chunk.
    ChunkRequested,
    /// Its first chunk has arrived.
    ChunkArrived,
    /// It holds the whole version and has verified it.
    WholeVerified,
    /// It has asked control whether it may switch.
    GrantRequested,
    /// It takes no new requests and waits for those in progress.
    Draining,
    /// It has ordered its engine to load the version.
    LoadOrdered,
    /// The engine has confirmed the version.
    EngineConfirmed,
    /// It advertises the version.
    Advertised,
}
