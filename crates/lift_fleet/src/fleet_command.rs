//! Commands of the replicated log.

use crate::{document, model_name, weights_version};

/// Command that changes [`crate::FleetState`]. New variants go to the end, since logs hold the
/// positions of the variants.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum FleetCommand {
    /// Puts a document in force, unless one with the same or a higher version already is.
    Replace(document::Document),
    /// Sets the target version of a model's weights, unless it is the same or higher already.
    SetTargetVersion {
        /// The model.
        model: model_name::ModelName,
        /// Target version of its weights.
        version: weights_version::WeightsVersion,
    },
    /// Evacuates a failure domain, unless it already is evacuated.
    Evacuate {
        /// The failure domain.
        failure_domain: lift_types::FailureDomainId,
    },
    /// Restores a failure domain, unless it is not evacuated.
    Restore {
        /// The failure domain.
        failure_domain: lift_types::FailureDomainId,
    },
}
