//! Options of the request experiment.

use crate::{bench_error, requests_fault};

/// Size and load of a run.
#[derive(Clone, Debug, clap::Args)]
pub struct RequestsOptions {
    /// Length of the run in seconds.
    #[arg(long, default_value_t = 10)]
    pub seconds: u64,
    /// Number of entries.
    #[arg(long, default_value_t = 1)]
    pub entries: u32,
    /// Number of model replicas.
    #[arg(long, default_value_t = 4)]
    pub replicas: u32,
    /// Requests per second, at fixed times whether or not earlier ones were answered.
    #[arg(long, default_value_t = 2_000)]
    pub rate: u64,
    /// One in this number of requests is a release at the ledger, which needs a claim; 0
    /// leaves them out.
    #[arg(long, default_value_t = 20)]
    pub claim_every: u64,
    /// What goes wrong: none, silent, crossed, kill-agent, kill-entry or drain.
    #[arg(long, default_value_t = requests_fault::RequestsFault::None)]
    pub fault: requests_fault::RequestsFault,
    /// Seed of the choices of the callers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl RequestsOptions {
    /// Checks the ranges.
    pub(crate) fn check(&self) -> Result<(), bench_error::BenchError> {
        let range = |option: &str, valid: bool, allowed: &str| {
            if valid {
                return Ok(());
            }
            Err(bench_error::BenchError::Option {
                option: String::from(option),
                problem: format!("must be {allowed}"),
            })
        };
        range("seconds", (1..=600).contains(&self.seconds), "1 to 600")?;
        range("entries", (1..=8).contains(&self.entries), "1 to 8")?;
        range("replicas", (1..=64).contains(&self.replicas), "1 to 64")?;
        range("rate", (1..=50_000).contains(&self.rate), "1 to 50000")?;
        let needs_two = matches!(
            self.fault,
            requests_fault::RequestsFault::KillEntry | requests_fault::RequestsFault::Drain
        );
        let entries = !needs_two || self.entries >= 2;
        range("entries", entries, "at least 2 with this fault")?;
        let replicas = self.fault == requests_fault::RequestsFault::None || self.replicas >= 2;
        range("replicas", replicas, "at least 2 with a fault")
    }
}
