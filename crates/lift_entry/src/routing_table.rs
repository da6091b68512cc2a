//! Routing table.

/// Snapshot of the hosts of each service that can be selected. Requests read it without locking the
/// shards of the directory.
#[derive(Debug, Default)]
pub(crate) struct RoutingTable {
    pub(crate) services: indexmap::IndexMap<lift_types::ServiceId, lift_route::CandidateSet>,
}
