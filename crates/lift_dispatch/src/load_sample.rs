//! A load report.

use std::time;

/// Requests at a backend server, as the agent beside it has seen them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// Requests that run or wait.
    pub requests: u32,
    /// Those of them whose prompts wait to be read.
    pub unread: u32,
    /// Models that it holds whole.
    pub models: Vec<lift_fleet::LoadedModel>,
    /// Share of the usual traffic that the link of its host bears, in percent.
    pub link_percent: u32,
    /// Whether it is loading weights and starts no request.
    pub is_loading: bool,
    /// When the sample arrived here.
    pub at: time::Instant,
}
