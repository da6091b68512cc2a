//! Limits of a workspace.

/// Limits on the requests of one workspace at one entry.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceLimits {
    /// Weight in the fair sharing of capacity with other workspaces, at least 1.
    pub weight: u32,
    /// Sustained rate in requests per second.
    pub rate_per_s: u32,
    /// Number of requests accepted at once above the sustained rate.
    pub burst: u32,
    /// Maximum number of requests that wait for admission.
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
