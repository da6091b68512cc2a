//! State of a leader in one term.

use std::time;

/// State that a leader keeps in memory for the duration of its term.
#[derive(Debug)]
pub(crate) struct LeaderTerm {
    pub(crate) term: lift_types::Term,
    pub(crate) leases: lift_state::LeaseTable,
    log_time_base: time::SystemTime,
    created_at: time::Instant,
}

impl LeaderTerm {
    /// Creates the state of a term in which this member has led since `since`. No lease or grant
    /// is issued until those of earlier leaders have expired. If no agent has ever registered,
    /// earlier leaders have issued none, and the leader does not wait.
    pub(crate) fn new(
        term: lift_types::Term,
        since: time::Instant,
        lease: time::Duration,
        state: &lift_state::State,
    ) -> Self {
        let grants_from = if state.has_no_registrations() {
            since
        } else {
            since + lift_state::LeaseTable::lease_with_margin(lease)
        };
        let log_time_base = state.last_claim_at();
        Self {
            term,
            leases: lift_state::LeaseTable::new(lease, grants_from),
            log_time_base: log_time_base.unwrap_or_else(time::SystemTime::now),
            created_at: time::Instant::now(),
        }
    }

    /// Returns the log time, which determines when claims expire. It continues from the last claim
    /// of earlier terms at the rate of the monotonic clock, so that a host with a wrong date can't
    /// make claims expire early. The time from that claim until this state was created is not
    /// counted, so claims are kept longer after a change of leader. Without an earlier claim the
    /// log time starts from the system clock.
    pub(crate) fn log_time(&self) -> time::SystemTime {
        self.log_time_base + self.created_at.elapsed()
    }
}
