//! When a node asks a control member whether its state is current.

use std::time;

/// Time between two questions to the member that confirms, and to all members while none does.
pub(crate) const ASK_INTERVAL: time::Duration = time::Duration::from_millis(400);

/// Time between two questions to a member that can't confirm, while another one does. They show
/// that the connection still works, so that the member can take over at once.
const STANDBY_INTERVAL: time::Duration = time::Duration::from_millis(1_600);

/// Age of the last confirmation above which all members are asked, since another one may lead
/// now. Two questions to the leader have had time to be answered.
const LEADER_LOST_AFTER: time::Duration = time::Duration::from_millis(900);

/// Slack of timers, so that a question is not put off for a whole interval.
const TIMER_SLACK: time::Duration = time::Duration::from_millis(20);

/// Decides when to ask the control member of one connection.
///
/// Only the leader can confirm, and its answers are needed often. If every node asked every member
/// as often, the questions of a large fleet would cost the members more than their work. See
/// `docs/CAPACITY.md`.
#[derive(Clone, Copy, Debug, Default)]
pub struct AskSchedule {
    asked_at: Option<time::Instant>,
    is_confirming: bool,
}

impl AskSchedule {
    /// Whether to ask at `now`. `leader_asked_at` is when the last question was asked, on any
    /// connection of the node, that the leader has answered.
    pub fn is_due(&self, now: time::Instant, leader_asked_at: Option<time::Instant>) -> bool {
        let Some(asked_at) = self.asked_at else {
            return true;
        };
        let age = leader_asked_at.map(|at| now.saturating_duration_since(at));
        let is_leader_known = age.is_some_and(|age| age < LEADER_LOST_AFTER);
        let interval = match is_leader_known && !self.is_confirming {
            true => STANDBY_INTERVAL,
            false => ASK_INTERVAL,
        };
        now.saturating_duration_since(asked_at) + TIMER_SLACK >= interval
    }

    /// Records that the member was asked at `now`.
    pub fn record_question(&mut self, now: time::Instant) {
        self.asked_at = Some(now);
    }

    /// Records an answer, and whether it confirmed the state.
    pub fn record_answer(&mut self, is_confirming: bool) {
        self.is_confirming = is_confirming;
    }
}
