//! Share of a cold backend server that was computed before.

use crate::server_limit;

/// The share of this gateway at one server, and what it was computed from.
#[derive(Debug)]
pub(crate) struct KnownShare {
    /// Revision of the list of gateways.
    pub(crate) revision: u64,
    pub(crate) region: Option<lift_types::RegionId>,
    pub(crate) limit: lift_dispatch::ColdLimit,
    pub(crate) share: u32,
}

impl KnownShare {
    /// Whether the share is still that of a server with the limit `server`.
    pub(crate) fn is_valid(&self, revision: u64, server: &server_limit::ServerLimit<'_>) -> bool {
        self.revision == revision
            && self.region.as_deref() == server.region
            && Some(self.limit) == server.limit
    }
}
