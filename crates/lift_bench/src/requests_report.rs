//! Result of the request experiment.

/// Figures of one run. Latencies count from the time at which a request was due.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct RequestsReport {
    /// Number of entries.
    pub entries: u32,
    /// Number of model replicas.
    pub replicas: u32,
    /// What went wrong.
    pub fault: crate::RequestsFault,
    /// Seed of the run.
    pub seed: u64,
    /// Idempotent requests answered through the entries, per second.
    pub rps: f64,
    /// Median latency of idempotent requests through the entries.
    pub p50_us: u64,
    /// 99th percentile of the same.
    pub p99_us: u64,
    /// Median latency of the same requests sent straight to the engine.
    pub direct_p50_us: u64,
    /// 99th percentile of the same.
    pub direct_p99_us: u64,
    /// The first median less the second.
    pub added_p50_us: i64,
    /// The first 99th percentile less the second.
    pub added_p99_us: i64,
    /// Requests without a whole answer or a definite outcome within their time, or which were
    /// answered although they did not run.
    pub lost: u64,
    /// Answers that were not the answer to their request.
    pub wrong: u64,
    /// Releases that ran more than once.
    pub double_runs: u64,
    /// Releases that had run when their caller was told "not run".
    pub false_not_run: u64,
    /// Releases that were answered.
    pub releases: u64,
    /// Releases that stay in doubt at the end of their time.
    pub in_doubt: u64,
    /// 99th percentile of the latency of releases.
    pub release_p99_ms: f64,
    /// Claims per second through three synced control members, in a run of their own.
    pub claims_per_s: f64,
    /// 99th percentile of the latency of those claims.
    pub claim_p99_ms: f64,
    /// Processor time of the entries for each request through them.
    pub cpu_us_per_request: f64,
    /// Retries of the entries by reason.
    pub retries: indexmap::IndexMap<String, u64>,
    /// Refusals of the entries by reason.
    pub refusals: indexmap::IndexMap<String, u64>,
}
