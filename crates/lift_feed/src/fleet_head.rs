//! The newest versions.

use crate::named_weights;

/// Versions in force, as one control member has applied them.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FleetHead {
    /// Version of the configuration document, 0 where there is none.
    pub document: lift_fleet::DocumentVersion,
    /// Newest named version of each model's weights.
    pub weights: indexmap::IndexMap<lift_fleet::ModelName, named_weights::NamedWeights>,
}
