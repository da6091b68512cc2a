//! A version that was named before the newest one.

use std::time;

/// A version of a model's weights that was named before the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EarlierVersion {
    /// Version of the weights.
    pub version: lift_fleet::WeightsVersion,
    /// Time since it was named, or more. `None` where the member can't tell, which counts as long ago.
    pub named_for: Option<time::Duration>,
}
