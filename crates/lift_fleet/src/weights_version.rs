//! Version of a model's weights.

/// Number of one version of a model's weights. Versions start at 1 and increase; 0 means none.
pub type WeightsVersion = u64;
