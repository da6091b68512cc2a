//! Commands of the replicated log.

use crate::{document, model_name, weights_version};

/// A change of [`crate::FleetState`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum FleetCommand {
    /// Puts a document in force, unless one with the same or a higher version is.
    Replace(document::Document),
    /// Names a version of a model's weights, unless the same or a higher one was named.
    NameWeights {
        /// The model.
        model: model_name::ModelName,
        /// Version of its weights.
        version: weights_version::WeightsVersion,
    },
}
