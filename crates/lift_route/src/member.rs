//! A live host.

use std::time;

use crate::host_report;

/// Latest report of a live host, with the health that the entry observed.
#[derive(Clone, Debug)]
pub struct Member {
    /// The latest report.
    pub report: host_report::HostReport,
    /// When the latest report was received.
    pub last_seen: time::Instant,
    /// Whether the host failed repeatedly and is used only if no healthy host is eligible.
    pub damped: bool,
    /// Whether a connection to the host has failed since its latest report.
    pub suspected: bool,
}
