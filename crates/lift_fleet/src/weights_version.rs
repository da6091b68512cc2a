//! Version of a model's weights.

/// Number of one version of the weights of a model. Versions start at 1 and increase.
pub type WeightsVersion = u64;
