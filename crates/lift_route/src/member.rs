//! A live host.

use std::time;

use crate::host_report;

/// Latest report of a host and when it came.
#[derive(Clone, Debug)]
pub struct Member {
    /// The report.
    pub report: host_report::HostReport,
    /// When it came.
    pub heard_at: time::Instant,
    /// Set while the host gets no work because it failed repeatedly.
    pub damped: bool,
    /// Set while a connection to the host has failed since its last report.
    pub suspected: bool,
}
