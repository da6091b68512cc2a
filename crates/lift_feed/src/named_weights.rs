//! A named version of a model's weights.

use std::time;

use crate::earlier_version;

/// The newest version of a model's weights that was named, as a control member knows it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct NamedWeights {
    /// Version of the weights.
    pub version: lift_fleet::WeightsVersion,
    /// Time since it was named, or more. `None` where the member can't tell, which counts as long
    /// ago: it has learned of it from its disk, from a snapshot, or before the leader answered it.
    pub named_for: Option<time::Duration>,
    /// Versions that were named shortly before, the oldest first. A node that starts now has not
    /// heard of them, and their time counts as well.
    pub earlier: Vec<earlier_version::EarlierVersion>,
}
