//! A named version of a model's weights.

use std::time;

/// The newest version of a model's weights that was named, as a control member knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct NamedWeights {
    /// Version of the weights.
    pub version: lift_fleet::WeightsVersion,
    /// Time since it was named. `None` where the member learned of it from its disk or from a
    /// snapshot, and can't tell.
    pub named_for: Option<time::Duration>,
}
