//! Load on which a selection was based.

use std::time;

/// Load of one backend server, as this gateway knew it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsideredLoad {
    /// The server.
    pub backend: lift_fleet::BackendId,
    /// Requests that run or wait there.
    pub requests: u32,
    /// Number of its slots.
    pub slots: u32,
    /// Age of its load report, `None` without a fresh one.
    pub age: Option<time::Duration>,
}
