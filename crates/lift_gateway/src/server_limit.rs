//! Limit of a backend server for all gateways.

use std::net;

/// The limit of a backend server while it is cold, and what the share of a gateway depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ServerLimit<'a> {
    pub(crate) address: net::SocketAddr,
    pub(crate) region: Option<&'a str>,
    /// `None` if its service has no warm-up.
    pub(crate) limit: Option<lift_dispatch::ColdLimit>,
}
