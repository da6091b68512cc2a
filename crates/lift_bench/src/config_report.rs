//! Result of the configuration experiment.

use crate::config_fault;

/// Figures of one run. Times are in milliseconds unless the name tells otherwise.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ConfigReport {
    /// Control members.
    pub members: u64,
    /// Nodes.
    pub nodes: u32,
    /// The fault.
    pub fault: config_fault::ConfigFault,
    /// Accepted changes.
    pub changes: u64,
    /// Changes that another operator's change came before.
    pub conflicts: u64,
    /// Accepted changes in a second, with the pauses between them.
    pub accepted_per_s: f64,
    /// Time from a change to its acceptance, median.
    pub accepted_p50_ms: f64,
    /// The same, 99th percentile.
    pub accepted_p99_ms: f64,
    /// Time from the acceptance until a node has the revision or has stopped to take work,
    /// 99th percentile over all changes and nodes.
    pub in_force_p99_ms: f64,
    /// The same, maximum.
    pub in_force_max_ms: f64,
    /// Part of the changes and nodes for which the node had stopped to take work, in
    /// percent.
    pub stopped_percent: f64,
    /// Longest time after the fault for which no change was accepted; zero without a fault.
    pub failover_ms: f64,
    /// Bytes to and from a node in a second, at 22,000 changes a day.
    pub bytes_per_node_s: f64,
    /// Bytes to and from a node for one change.
    pub bytes_per_node_change: f64,
    /// Part of a core for each node at 22,000 changes a day, with its share of the members
    /// and relays, which run in the same process.
    pub cpu_share_per_node: f64,
    /// Growth of the resident memory for each node, in bytes.
    pub memory_per_node_bytes: u64,
    /// Time in which a restarted member has its state again.
    pub restart_ms: f64,
    /// Accepted changes that are missing from the audit log, and nodes that end with
    /// another policy.
    pub lost: u64,
    /// Times that a node went back to a lower revision.
    pub reverted: u64,
    /// Revisions for which two changes were accepted, and repeats with another answer.
    pub double_wins: u64,
}
