//! Routing table.

/// Snapshot of the live hosts of each service, without hosts that are leaving. Requests read it
/// without locking the shards of the directory.
#[derive(Debug, Default)]
pub(crate) struct RoutingTable {
    pub(crate) services: indexmap::IndexMap<lift_types::ServiceId, lift_route::CandidateSet>,
}
