//! A workspace of a configuration document.

use crate::allowed_regions;

/// Terms of a workspace that apply to all of its requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub id: lift_types::WorkspaceId,
    /// Priority, of which 0 is the most urgent. It takes precedence over that of the route. `None`
    /// if the document sets none.
    pub priority: Option<u32>,
    /// Regions in which its requests may run. They bind in addition to those of the route.
    pub allowed_regions: allowed_regions::AllowedRegions,
}
