//! A backend server that may get a request.

use std::net;

/// What the choice needs to know of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Its name for itself.
    pub id: lift_fleet::BackendId,
    /// Where it takes requests.
    pub address: net::SocketAddr,
    /// Region in which it runs, as far as it is known.
    pub region: Option<lift_types::RegionId>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Models that it holds whole, by its announcement.
    pub models: Vec<lift_fleet::LoadedModel>,
    /// Whether control has heard nothing of it for a while.
    pub is_silent: bool,
}
