//! Durations of the protocol.

use std::time;

/// Durations on which leadership depends. All members must use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between heartbeats of a leader.
    pub heartbeat: time::Duration,
    /// Time after a heartbeat for which a follower neither votes nor starts an election.
    pub election: time::Duration,
    /// Upper bound of the random time that is added before an election.
    pub spread: time::Duration,
    /// How much faster or slower than another a member's monotonic clock may run, in
    /// percent. The leader lease is shorter than `election` by this bound on both sides.
    pub drift_percent: u32,
    /// Time after which a leader whose disk does not finish a sync gives up the lead.
    pub sync_stall: time::Duration,
}

impl Timing {
    /// Length of the leader lease, counted from the time when a heartbeat was sent.
    ///
    /// With drift bound `d`, a follower's `election` lasts at least `election * (1 - d)` of
    /// real time and the leader's lease at most `lease * (1 + d)`, so `lease` must not be
    /// above `election * (1 - d) / (1 + d)`.
    pub fn lease(&self) -> time::Duration {
        let drift = self.drift_percent.min(100);
        self.election * (100 - drift) / (100 + drift)
    }
}

impl Default for Timing {
    /// Finds a lost leader in 300 to 450 ms, which leaves half of the failover target of
    /// 1,000 ms for the election and for slow disks.
    fn default() -> Self {
        Self {
            heartbeat: time::Duration::from_millis(50),
            election: time::Duration::from_millis(300),
            spread: time::Duration::from_millis(150),
            drift_percent: 5,
            sync_stall: time::Duration::from_secs(1),
        }
    }
}
