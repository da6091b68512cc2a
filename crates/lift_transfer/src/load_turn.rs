//! When an agent lets its backend server load a new version.

use std::time;

/// Fewest groups of agents that load one after the other. With two, half of the backend servers
/// of a region serve while the other half completes its requests and loads.
const MIN_GROUPS: u128 = 2;

/// Most groups. With more, servers keep the older version for little gain.
const MAX_GROUPS: u128 = 4;

/// Time between two groups: about as long as the requests in progress and the load take.
const GROUP_GAP: time::Duration = time::Duration::from_millis(1_900);

/// Turn of one agent among those of its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadTurn {
    /// Position of the agent among those of its region.
    pub position: usize,
    /// Time until the version that the backend server holds gets no more requests.
    pub time_left: time::Duration,
}

impl LoadTurn {
    /// Time for which the agent waits with a version that is staged. There are as many groups
    /// as the time allows in which the older version is still of use, and nobody waits beyond.
    pub fn delay(&self) -> time::Duration {
        let fitting = 1 + self.time_left.as_millis() / GROUP_GAP.as_millis();
        let groups = fitting.clamp(MIN_GROUPS, MAX_GROUPS);
        let wanted = GROUP_GAP * (self.position as u128 % groups) as u32;
        wanted.min(self.time_left)
    }
}
