//! A host that can be selected for a request.

use std::{net, time};

use crate::{member, membership};

/// Properties of a live host that host selection depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Region, failure domain and id of the host.
    pub location: lift_types::Location,
    /// Incarnation of its agent.
    pub incarnation: lift_types::Incarnation,
    /// Address on which its agent accepts calls.
    pub call_addr: net::SocketAddr,
    /// Version that the host serves; `None` if it serves none.
    pub version: Option<lift_types::VersionId>,
    /// Requests in progress according to the host's latest report.
    pub reported_load: u32,
    /// When the latest report was received.
    pub reported_at: time::Instant,
    /// Whether the host failed repeatedly and is used only if no healthy host is eligible.
    pub damped: bool,
    /// Whether a connection to the host has failed since its latest report.
    pub suspected: bool,
}

impl Candidate {
    /// Creates a candidate from a live host. Returns `None` if the host is leaving.
    pub fn from_member(member: &member::Member) -> Option<Self> {
        let report = &member.report;
        if report.state == lift_types::HostState::Leaving {
            return None;
        }
        Some(Self {
            location: report.location.clone(),
            incarnation: report.incarnation,
            call_addr: report.call_addr,
            version: report.serving.as_ref().map(|s| s.version.clone()),
            reported_load: report.in_progress,
            reported_at: member.last_seen,
            damped: member.damped,
            suspected: member.suspected,
        })
    }

    /// Whether at `now` the host is neither damped nor suspected and has reported within
    /// [`membership::SUSPECT_AFTER`]. Healthy hosts are preferred over all others.
    pub fn is_healthy(&self, now: time::Instant) -> bool {
        let silence = now.saturating_duration_since(self.reported_at);
        !self.damped && !self.suspected && silence < membership::SUSPECT_AFTER
    }
}
