//! Options of the demo.

use std::path;

/// What the demo spreads, and to how many replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemoOptions {
    /// File of weights; any file will do. Weights are generated without it.
    pub weights: Option<path::PathBuf>,
    /// Number of model replicas, at least one.
    pub replicas: u32,
}
