//! A host that may get a request.

use std::{net, time};

use crate::{member, membership};

/// A live host as the choice of hosts sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Where the host is.
    pub place: lift_types::Place,
    /// Incarnation of its agent.
    pub incarnation: lift_types::Incarnation,
    /// Address for calls.
    pub call_addr: net::SocketAddr,
    /// Version that it serves.
    pub version: Option<lift_types::VersionId>,
    /// Requests in progress by its own report.
    pub reported: u32,
    /// When the report came.
    pub reported_at: time::Instant,
    /// Whether the host failed repeatedly and gets work only where no other host can take it.
    pub damped: bool,
    /// Whether a connection to the host has failed since its last report.
    pub suspected: bool,
}

impl Candidate {
    /// Makes a candidate from a live host, or `None` where it leaves.
    pub fn of(member: &member::Member) -> Option<Self> {
        let report = &member.report;
        if report.state == lift_types::HostState::Leaving {
            return None;
        }
        Some(Self {
            place: report.place.clone(),
            incarnation: report.incarnation,
            call_addr: report.call_addr,
            version: report.serving.as_ref().map(|s| s.version.clone()),
            reported: report.in_progress,
            reported_at: member.heard_at,
            damped: member.damped,
            suspected: member.suspected,
        })
    }

    /// Whether the host is preferred over suspected and damped ones at `now`.
    pub fn is_healthy(&self, now: time::Instant) -> bool {
        let silence = now.saturating_duration_since(self.reported_at);
        !self.damped && !self.suspected && silence < membership::SUSPECT_AFTER
    }
}
