//! Name of a model.

/// Name by which callers request a model and operators set the target version of its weights.
pub type ModelName = String;
