//! A request that was at a backend server when it ended.

use std::time;

/// Evidence against the parts of one request, from the end of the backend server that worked on
/// it.
#[derive(Clone, Debug)]
pub(crate) struct PartCrash {
    /// The backend server that ended.
    pub(crate) backend: lift_fleet::BackendId,
    /// When a gateway saw it end.
    pub(crate) at: time::Instant,
    /// Parts that no answer has cleared since.
    pub(crate) suspects: indexmap::IndexSet<lift_fleet::PromptPart>,
}
