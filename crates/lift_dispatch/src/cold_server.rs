//! Warm-up of one backend server.

use std::time;

use crate::{cold_limit, cold_state, send_window};

/// Longest time for which an announcement makes a server count as cold.
const MAX_WARMUP: time::Duration = time::Duration::from_secs(3_600);

/// Time for which an unreachable server counts as cold if nothing more is heard of it. Control
/// announces a restart or silence sooner than this. The time is limited because a gateway with a
/// share of 0 sends nothing, and so never learns that the server answers.
const UNREACHABLE_TIME: time::Duration = time::Duration::from_secs(30);

/// Whether a backend server is cold as far as one gateway knows, and what the gateway has sent to
/// it.
///
/// Announcements arrive late, so an unreachable server already counts as cold, and stays cold for
/// one warm-up after it answers again.
#[derive(Clone, Debug, Default)]
pub struct ColdServer {
    process: Option<(lift_fleet::BackendId, time::SystemTime)>,
    is_silent: bool,
    /// When it last could not be reached or has ended. `None` if it was reached since.
    failed_at: Option<time::Instant>,
    cold_until: Option<time::Instant>,
    /// When a warm-up began whose duration was not known yet.
    marked_at: Option<time::Instant>,
    /// `None` if its service has no warm-up.
    limit: Option<cold_limit::ColdLimit>,
    /// Part of the limit that this gateway may use.
    share: u32,
    sent: send_window::SendWindow,
}

impl ColdServer {
    /// Sets the limit of its service, and the part of it that this gateway may use.
    pub fn configure(&mut self, limit: Option<cold_limit::ColdLimit>, share: u32) {
        self.limit = limit;
        self.share = share;
        if limit.is_some()
            && let Some(at) = self.marked_at.take()
        {
            self.mark(at);
        }
    }

    /// Takes in a record that was received at `now`. `was_running` tells whether the gateway ran
    /// before the server can have started: otherwise only an announced warm-up counts.
    pub fn announce(
        &mut self,
        now: time::Instant,
        record: &lift_fleet::BackendRecord,
        was_running: bool,
    ) {
        let announcement = &record.announcement;
        let process = (announcement.id.clone(), announcement.started_at);
        let is_new = self.process.as_ref() != Some(&process);
        self.process = Some(process);
        let is_back = std::mem::replace(&mut self.is_silent, record.is_silent);
        if record.is_silent {
            return;
        }
        // Any other record of a server that could not be reached may be from before that.
        if is_back || is_new {
            self.failed_at = None;
        }
        self.marked_at = None;
        let announced = announcement.warmup_left.min(MAX_WARMUP);
        if !announced.is_zero() {
            self.cold_until = Some(now + announced);
        } else if is_back || (is_new && was_running) {
            self.mark(now);
        } else {
            self.cold_until = None;
        }
    }

    /// Counts the server as cold from `now` on for the time that a warm-up takes, unless it is
    /// known to be cold for longer. Without a limit the warm-up counts once one is set.
    pub fn mark(&mut self, now: time::Instant) {
        match self.limit {
            Some(limit) => {
                let until = now + limit.duration.min(MAX_WARMUP);
                self.cold_until = self.cold_until.max(Some(until));
            }
            None => self.marked_at = Some(now),
        }
    }

    /// Records that the server could not be reached at `now` or has ended.
    pub fn record_failure(&mut self, now: time::Instant) {
        self.failed_at = Some(now);
    }

    /// Records that the server has answered.
    pub fn record_answer(&mut self, now: time::Instant) {
        if self.failed_at.take().is_some() {
            self.mark(now);
        }
    }

    /// Whether the server counts as cold, and whether it may get one more request.
    pub fn state(&self, now: time::Instant) -> cold_state::ColdState {
        let is_cold = self.cold_until.is_some_and(|until| now < until);
        if self.limit.is_none() || !(is_cold || self.is_unreachable(now)) {
            cold_state::ColdState::Warm
        } else if self.sent.has_place(now, self.share) {
            cold_state::ColdState::Cold
        } else {
            cold_state::ColdState::Full
        }
    }

    /// Counts a request that is sent at `now`. Returns `false` if it must not be sent. Requests to
    /// a warm server are counted too, since it may be found to be cold within the second.
    pub fn take(&mut self, now: time::Instant) -> bool {
        if self.state(now) == cold_state::ColdState::Full {
            return false;
        }
        if self.limit.is_some() {
            self.sent.record(now);
        }
        true
    }

    /// Gives back the place of a request that was sent at `sent_at` and does not count.
    pub fn give_back(&mut self, sent_at: time::Instant) {
        self.sent.remove(sent_at);
    }

    /// Counts a request that was taken at `taken_at` as sent at `now`, since its connection is open
    /// only then. Until that it counts from when it was taken, so that no other takes its place.
    pub fn update_send_time(&mut self, taken_at: time::Instant, now: time::Instant) {
        if self.limit.is_some() {
            self.sent.remove(taken_at);
            self.sent.record(now);
        }
    }

    /// Time for which the server still counts as cold, `None` if that depends on its return.
    pub fn cold_left(&self, now: time::Instant) -> Option<time::Duration> {
        let left = self
            .cold_until
            .map(|until| until.saturating_duration_since(now));
        left.filter(|_| !self.is_unreachable(now))
    }

    /// Whether the server is silent, or could not be reached and was not reached since.
    fn is_unreachable(&self, now: time::Instant) -> bool {
        let has_failed = self
            .failed_at
            .is_some_and(|at| now.saturating_duration_since(at) < UNREACHABLE_TIME);
        self.is_silent || has_failed
    }
}
