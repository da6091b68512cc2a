//! What became of a sighting that arrived.

/// What a [`crate::SightingLog`] did with a sighting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum SightingOutcome {
    /// It is kept, and was not known before.
    News,
    /// It was known by its identifier.
    Copy,
    /// It is too old to matter.
    TooOld,
    /// It has too many parts or bytes.
    OverBounds,
    /// The log is full of sightings that are younger.
    NoSpace,
}
