//! Identifier of a version of the weights.

/// Name of a version of the model weights.
pub type VersionId = String;
