//! Limits of a workspace.

/// Limits on the requests of one workspace at one entry.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceLimits {
    /// Share of the capacity relative to the other workspaces, at least 1.
    pub weight: u32,
    /// Requests per second in the long run.
    pub rate_per_s: u32,
    /// Requests that may come at once above the rate.
    pub burst: u32,
    /// Requests that may wait for admission.
    pub max_queued: u32,
}

impl Default for WorkspaceLimits {
    fn default() -> Self {
        Self {
            weight: 1,
            rate_per_s: 20_000,
            burst: 2_000,
            max_queued: 1_000,
        }
    }
}
