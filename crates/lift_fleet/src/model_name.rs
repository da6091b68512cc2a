//! Name of a model.

/// Name under which callers ask for a model and operators name its weights.
pub type ModelName = String;
