//! Result of the burst experiment.

/// Figures of one burst. A copy is the size of the weights.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct BurstReport {
    /// Number of hosts.
    pub hosts: u32,
    /// Number of regions.
    pub regions: u32,
    /// Size of the weights in bytes.
    pub bytes: u64,
    /// What the transfer saved.
    pub policy: lift_types::TransferGoal,
    /// What went wrong.
    pub fault: crate::BurstFault,
    /// Seed of the run.
    pub seed: u64,
    /// Hosts that serve the version in the end.
    pub served: u32,
    /// Time until half of the hosts served it.
    pub time_to_half_ms: u64,
    /// Time until all hosts that were left served it.
    pub time_to_all_ms: u64,
    /// Time below which no transfer can end.
    pub lower_bound_ms: u64,
    /// Time to all over the lower bound.
    pub ratio: f64,
    /// Copies read from the origin.
    pub origin_copies: f64,
    /// Most copies over one host link, either way.
    pub max_host_link_copies: f64,
    /// Most copies over one region link, either way.
    pub max_region_link_copies: f64,
    /// Time of the baseline, in which each host reads the origin; zero where it was left out.
    pub baseline_time_ms: u64,
    /// Copies that the baseline read from the origin.
    pub baseline_origin_copies: f64,
    /// The baseline transferred one part in this number, and its figures were multiplied.
    pub baseline_part: u64,
    /// 99th percentile of live requests before the burst.
    pub live_p99_before_ms: f64,
    /// 99th percentile of live requests during the burst.
    pub live_p99_during_ms: f64,
    /// The second over the first.
    pub live_p99_ratio: f64,
    /// Live requests that were answered during the burst.
    pub live_answers: u64,
    /// Live requests that were refused as not run, because a host was switching.
    pub live_not_run: u64,
    /// Answers that were not the answer to their request.
    pub wrong_answers: u64,
    /// Answers from partial weights or from two versions.
    pub mixed_answers: u64,
    /// Counters of all agents together.
    pub counters: indexmap::IndexMap<String, u64>,
}
