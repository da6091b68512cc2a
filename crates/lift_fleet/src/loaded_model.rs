//! A model that a backend server has loaded.

use crate::{model_name, weights_version};

/// Model and version of the weights that a backend server has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub name: model_name::ModelName,
    /// Version of its weights.
    pub version: weights_version::WeightsVersion,
}
