//! A version of a model's weights that was named.

use std::time;

use crate::weights_version;

/// A version of a model's weights that was named, and what is known of the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Naming {
    /// The version.
    pub version: weights_version::WeightsVersion,
    /// When it was named. `None` if that is unknown, which counts as long ago.
    pub named_at: Option<time::Instant>,
}
