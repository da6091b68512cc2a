//! Urgency of a request.

/// Urgency of a request, ordered with the most urgent first: by the priority of the workspace, and
/// among equals by that of the route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRank {
    workspace: u32,
    route: u32,
}

impl RequestRank {
    /// Urgency on a route of priority `route` for a workspace of priority `workspace`. A workspace
    /// without one takes that of the route, so that it is neither ahead of nor behind all others.
    pub fn new(route: u32, workspace: Option<u32>) -> Self {
        Self {
            workspace: workspace.unwrap_or(route),
            route,
        }
    }
}
