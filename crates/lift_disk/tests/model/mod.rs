//! Simulation of a cluster in virtual time.

mod checks;
mod cluster;
mod host;

pub use cluster::Cluster;

/// Frequencies of the injected faults.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Lost messages, in percent. The same share of the others is delayed by up to 400 ms.
    pub loss: u32,
    /// Duplicated messages, in percent.
    pub duplication: u32,
    /// Mean number of crashes in 10 s, and of injected disk failures in 10 s.
    pub crashes: u32,
    /// Mean number of attempted member changes in 10 s.
    pub changes: u32,
    /// Crashes right after a vote is granted, in percent. Crashes after the acceptance of an
    /// entry are a tenth as frequent.
    pub acknowledgment_crashes: u32,
}
