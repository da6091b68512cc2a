//! A load report.

use std::time;

/// Load of a backend server as reported by the agent on its host.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSample {
    /// Requests that run or wait.
    pub requests: u32,
    /// Requests among them whose prompts the engine has not read yet.
    pub queued_prompts: u32,
    /// Models that the backend server has loaded completely.
    pub models: Vec<lift_fleet::LoadedModel>,
    /// Traffic that the link of its host can carry, in percent of the usual traffic. The agent
    /// estimates it from round trips to control members; `None` if it could not.
    pub link_percent: Option<u32>,
    /// Whether it is loading weights and starts no request.
    pub is_loading: bool,
    /// Random number of the report, from 0 up to 1. It decides which gateways may use the free
    /// slots if there are fewer than gateways.
    pub random: f64,
    /// When the gateway received the report.
    pub received_at: time::Instant,
}
