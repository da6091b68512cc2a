//! Durations of the protocol.

use std::time;

/// Durations that govern elections and the leader lease. All members must use the same
/// values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between heartbeats of a leader.
    pub heartbeat_interval: time::Duration,
    /// Time after a heartbeat during which a follower neither starts an election nor votes,
    /// except in a leadership transfer.
    pub election_timeout: time::Duration,
    /// Upper bound of the random delay that is added before an election.
    pub election_jitter: time::Duration,
    /// Maximum deviation of a member's monotonic clock from real time, in percent. The leader
    /// lease is shorter than `election_timeout` by this bound for both the leader's and the
    /// follower's clock.
    pub drift_percent: u32,
    /// Time after which a leader steps down if its disk has not finished a sync.
    pub sync_timeout: time::Duration,
}

impl Timing {
    /// Returns the length of the leader lease, counted from the sending time of a heartbeat.
    ///
    /// With drift bound `d`, a follower's `election_timeout` lasts at least
    /// `election_timeout * (1 - d)` of real time and the leader's lease at most
    /// `lease * (1 + d)`, so `lease` must not exceed `election_timeout * (1 - d) / (1 + d)`.
    pub fn lease(&self) -> time::Duration {
        let drift = self.drift_percent.min(100);
        self.election_timeout * (100 - drift) / (100 + drift)
    }
}

impl Default for Timing {
    /// Returns values with which the loss of a leader is detected in 300 to 450 ms. This
    /// leaves half of the failover target of 1,000 ms for the election and for slow disks.
    fn default() -> Self {
        Self {
            heartbeat_interval: time::Duration::from_millis(50),
            election_timeout: time::Duration::from_millis(300),
            election_jitter: time::Duration::from_millis(150),
            drift_percent: 5,
            sync_timeout: time::Duration::from_secs(1),
        }
    }
}
