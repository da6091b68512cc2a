//! Staggered loading of a new version by the backend servers of a region.

use std::time;

/// Minimum number of groups of agents that load one after the other. With two, half of the
/// backend servers of a region serve while the other half completes its requests and loads.
const MIN_GROUPS: u128 = 2;

/// Maximum number of groups. With more, servers keep the older version longer for little gain.
const MAX_GROUPS: u128 = 4;

/// Time between two groups: about as long as completing the requests in progress and the load
/// take.
const GROUP_INTERVAL: time::Duration = time::Duration::from_millis(1_900);

/// Inputs from which the delay of one agent's load is computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaggeredLoad {
    /// Position of the agent in the order of the agents of its region, from zero.
    pub position: usize,
    /// Time until the version that the backend server holds receives no more requests.
    pub time_left: time::Duration,
}

impl StaggeredLoad {
    /// Returns the time for which the agent delays the load of a staged version. The number of
    /// groups is as large as [`Self::time_left`] permits, from `MIN_GROUPS` to `MAX_GROUPS`, and
    /// the delay never exceeds that time.
    pub fn delay(&self) -> time::Duration {
        let fitting = 1 + self.time_left.as_millis() / GROUP_INTERVAL.as_millis();
        let groups = fitting.clamp(MIN_GROUPS, MAX_GROUPS);
        let delay = GROUP_INTERVAL * (self.position as u128 % groups) as u32;
        delay.min(self.time_left)
    }
}
