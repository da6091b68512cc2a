//! A key group that a host reads first.

use crate::upstream;

/// A key group of chunks for which a host is the home host in its region.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HomeGroup {
    /// The group.
    pub group: lift_types::KeyGroup,
    /// Where the host reads it.
    pub upstream: upstream::Upstream,
}
