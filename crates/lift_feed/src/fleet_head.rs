//! The newest versions and evacuations.

use std::time;

use crate::named_weights;

/// Age up to which members repeat namings after the answers to questions. Older weights are in use
/// for seconds after a naming.
const RECENT: time::Duration = time::Duration::from_secs(60);

/// Versions and evacuations in force, as one control member has applied them.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FleetHead {
    /// Version of the configuration document, 0 where there is none.
    pub document: lift_fleet::DocumentVersion,
    /// Newest named version of each model's weights.
    pub weights: indexmap::IndexMap<lift_fleet::ModelName, named_weights::NamedWeights>,
    /// Evacuated failure domains.
    pub evacuations: lift_fleet::Evacuations,
}

impl FleetHead {
    /// Whether a version was named recently, so that the time of its naming matters.
    pub(crate) fn has_recent_weights(&self) -> bool {
        let ages = self.weights.values().filter_map(|named| named.named_for);
        ages.into_iter().any(|age| age < RECENT)
    }
}
