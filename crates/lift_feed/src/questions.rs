//! Questions of a node to one control member.

use std::time;

use crate::ask_schedule;

/// Longest round trip of a question that is used to date what came with its answer. Over a
/// congested link the time of the question is too early, and a later question tells.
const MAX_DATING_ROUND_TRIP: time::Duration = time::Duration::from_millis(200);

/// Questions that are on their way over one connection, and the last one that was answered.
#[derive(Debug, Default)]
pub(crate) struct Questions {
    /// Numbers of the questions on their way, with the times at which they were asked.
    asked: Vec<(u64, time::Instant)>,
    last_nonce: u64,
    /// Number of the last question whose answer came soon, and when it was asked.
    dated: Option<(u64, time::Instant)>,
    pub(crate) schedule: ask_schedule::AskSchedule,
}

impl Questions {
    /// Records a question that is asked at `now` and returns its number.
    pub(crate) fn ask(&mut self, now: time::Instant) -> u64 {
        self.schedule.record_question(now);
        self.last_nonce += 1;
        self.asked.push((self.last_nonce, now));
        self.last_nonce
    }

    /// When the question was asked that the answer `nonce` belongs to. Earlier ones are dropped
    /// with it. `None` if no such question is on its way.
    pub(crate) fn answer(&mut self, now: time::Instant, nonce: u64) -> Option<time::Instant> {
        let position = self.asked.iter().position(|(n, _)| *n == nonce)?;
        let (_, at) = self.asked.drain(..=position).next_back()?;
        let round_trip = now.saturating_duration_since(at);
        self.dated = (round_trip <= MAX_DATING_ROUND_TRIP).then_some((nonce, at));
        Some(at)
    }

    /// When the question `nonce` was asked, if its answer came last and soon.
    pub(crate) fn dated(&self, nonce: u64) -> Option<time::Instant> {
        let (dated, at) = self.dated?;
        (dated == nonce).then_some(at)
    }

    /// When the oldest question was asked that is on its way.
    pub(crate) fn oldest(&self) -> Option<time::Instant> {
        self.asked.first().map(|(_, at)| *at)
    }
}
