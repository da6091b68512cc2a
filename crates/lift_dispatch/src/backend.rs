//! A backend server that may get a request.

use std::net;

/// Properties of a backend server that its selection depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Identifier that the backend server gave itself.
    pub id: lift_fleet::BackendId,
    /// Address at which it accepts requests.
    pub address: net::SocketAddr,
    /// Region in which it runs, or `None` if its failure domain is in no known region.
    pub region: Option<lift_types::RegionId>,
    /// Failure domain in which it runs.
    pub failure_domain: lift_types::FailureDomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Models that it has loaded completely, according to its announcement.
    pub models: Vec<lift_fleet::LoadedModel>,
    /// Whether its heartbeats have stopped for so long that it is assumed to be down.
    pub is_silent: bool,
}
