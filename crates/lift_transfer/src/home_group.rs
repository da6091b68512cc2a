//! Key group assigned to a home host.

use crate::upstream;

/// Key group for which a host is the home host: the first host of its region to fetch the
/// chunks of the group.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HomeGroup {
    /// Key group that the host fetches first in its region.
    pub group: lift_types::KeyGroup,
    /// Source from which the host reads the group.
    pub upstream: upstream::Upstream,
}
