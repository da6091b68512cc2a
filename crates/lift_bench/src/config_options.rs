//! Options of the configuration experiment.

use crate::{bench_error, config_fault};

/// What `liftctl experiment config` runs.
#[derive(Clone, Debug, clap::Args)]
pub struct ConfigOptions {
    /// Control members: 3 or 5.
    #[arg(long, default_value_t = 3)]
    pub members: u64,
    /// Nodes that follow the policy behind relays in three regions.
    #[arg(long, default_value_t = 30)]
    pub nodes: u32,
    /// Changes that operators make. More than 5,000 are sent without waiting in between.
    #[arg(long, default_value_t = 200)]
    pub changes: u64,
    /// What goes wrong after a third of the changes.
    #[arg(long, value_enum, default_value_t)]
    pub fault: config_fault::ConfigFault,
    /// Seed of the edits.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Pause between changes in milliseconds.
    #[arg(long, default_value_t = 50)]
    pub pause_ms: u64,
}

impl ConfigOptions {
    /// Checks the options.
    ///
    /// # Errors
    ///
    /// Returns [`bench_error::BenchError::Option`] for the first that is not valid.
    pub fn check(&self) -> Result<(), bench_error::BenchError> {
        let fields = [
            ("members", self.members, 3, 5),
            ("nodes", u64::from(self.nodes), 0, 1_000),
            ("changes", self.changes, 1, 2_000_000),
            ("pause_ms", self.pause_ms, 0, 10_000),
        ];
        for (name, value, least, most) in fields {
            if !(least..=most).contains(&value) || (name == "members" && value == 4) {
                let allowed = if name == "members" {
                    String::from("3 or 5")
                } else {
                    format!("{least} to {most}")
                };
                return Err(bench_error::BenchError::Option {
                    option: String::from(name),
                    problem: format!("{value}; allowed: {allowed}"),
                });
            }
        }
        Ok(())
    }
}
