//! Name of a model.

/// Longest name of a model, in bytes. Members tell nodes the versions of all models in one message,
/// which must stay below the longest frame.
pub const MAX_MODEL_NAME_BYTES: usize = 256;

/// Name by which callers request a model and operators set the target version of its weights.
pub type ModelName = String;
