//! What is played.

use std::{path, time};

/// Options of one soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Decides which faults come when.
    pub seed: u64,
    /// Time in which faults come.
    pub length: time::Duration,
    /// The program of the fleet.
    pub program: path::PathBuf,
}
