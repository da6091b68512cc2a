//! What a leader knows in one term.

use std::time;

/// State of a leader that ends with its term.
#[derive(Debug)]
pub(crate) struct Tenure {
    pub(crate) term: lift_types::Term,
    pub(crate) leases: lift_state::LeaseTable,
    clock_base: time::SystemTime,
    clock_start: time::Instant,
}

impl Tenure {
    /// Begins a term. Where no agent was ever registered, no earlier leader gave a lease
    /// and there is nothing to wait for.
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
        let clock_base = state.last_claim_at();
        Self {
            term,
            leases: lift_state::LeaseTable::new(lease, grants_from),
            clock_base: clock_base.unwrap_or_else(time::SystemTime::now),
            clock_start: time::Instant::now(),
        }
    }

    /// Log time, by which claims are retained. It continues from the last claim of the term
    /// before at the speed of the steady clock: a host with a wrong date can't make claims
    /// expire early. Time without a leader or without claims before a change of leader is
    /// lost, so that claims are kept longer.
    pub(crate) fn log_time(&self) -> time::SystemTime {
        self.clock_base + self.clock_start.elapsed()
    }
}
