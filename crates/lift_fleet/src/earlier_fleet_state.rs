//! Replicated state before failure domains could be evacuated.

use std::sync;

use crate::{document, evacuations, fleet_state, model_name, weights_version};

/// State as snapshots held it before failure domains could be evacuated. Members read such
/// snapshots from their disks and from members that run the earlier program.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
pub struct EarlierFleetState {
    document: Option<sync::Arc<document::Document>>,
    target_versions: indexmap::IndexMap<model_name::ModelName, weights_version::WeightsVersion>,
}

impl From<EarlierFleetState> for fleet_state::FleetState {
    /// Nothing was evacuated.
    fn from(earlier: EarlierFleetState) -> Self {
        Self {
            document: earlier.document,
            target_versions: earlier.target_versions,
            evacuations: evacuations::Evacuations::default(),
        }
    }
}
