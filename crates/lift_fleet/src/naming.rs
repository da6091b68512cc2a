//! A version of a model's weights that was named.

use std::time;

use crate::weights_version;

/// A version of a model's weights that was named, and what is known of the time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Naming {
    /// The version.
    pub version: weights_version::WeightsVersion,
    /// A time before which no operator had the acknowledgement of it. `None` if none is known,
    /// which counts as long ago.
    pub not_before: Option<time::Instant>,
}
