//! When an agent lets its backend server load a new version.

use std::time;

/// Groups of agents that load one after the other. With two, half of the backend servers of a
/// region serve while the other half completes its requests and loads.
const GROUPS: usize = 2;

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
    /// Time for which the agent waits with a version that is staged. It does not wait beyond
    /// the time from which the older version is of no more use.
    pub fn delay(&self) -> time::Duration {
        let wanted = GROUP_GAP * (self.position % GROUPS) as u32;
        wanted.min(self.time_left)
    }
}
