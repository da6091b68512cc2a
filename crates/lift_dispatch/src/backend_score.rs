//! Score of a backend server.

use crate::{backend_selector, selection_error};

/// Suitability of a backend server for one request, computed from its load.
#[derive(Clone, Copy, Debug)]
pub struct BackendScore {
    /// Whether its link is congested. It then gets the request only if no other backend server
    /// can, and so many links appear congested that slow control members are the likelier cause.
    pub(crate) is_congested: bool,
    /// Cost of sending the request there, or why that is not possible.
    pub(crate) cost: Result<backend_selector::Cost, selection_error::SelectionError>,
}
