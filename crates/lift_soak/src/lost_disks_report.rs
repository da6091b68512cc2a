//! What a run of lost disks found.

use std::path;

/// Result of [`crate::run_lost_disks`].
#[derive(Clone, Debug)]
pub struct LostDisksReport {
    /// Times that all members were killed.
    pub rounds: u64,
    /// Broken promises.
    pub violations: Vec<String>,
    /// Folder with the logs of the processes, kept if a promise was broken.
    pub logs: Option<path::PathBuf>,
}
