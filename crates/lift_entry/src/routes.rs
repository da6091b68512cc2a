//! Hosts by service.

/// Snapshot of the live hosts of each service. Requests read it without a lock on the
/// directory.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    pub(crate) services: indexmap::IndexMap<lift_types::ServiceId, lift_route::CandidateSet>,
}
