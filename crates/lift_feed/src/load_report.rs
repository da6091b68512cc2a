//! Load of a backend server.

use std::net;

/// What an agent tells gateways about the backend server beside it, in one datagram.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Where the backend server takes requests.
    pub backend: net::SocketAddr,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait in its queue.
    pub waiting: u32,
    /// Requests whose prompts wait to be read.
    pub unread: u32,
    /// Models that it holds whole.
    pub models: Vec<lift_fleet::LoadedModel>,
    /// Share of the usual traffic that the link of its host can carry, in percent. `None` if the
    /// agent could not measure it lately.
    pub link_percent: Option<u32>,
    /// Whether it is loading weights and starts no request.
    pub is_loading: bool,
    /// Random number from 0 up to 1, by which gateways take turns in using free slots.
    pub random: f64,
}

impl LoadReport {
    /// Requests that run or wait.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
