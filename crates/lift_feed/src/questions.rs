//! Questions of a node to one control member.

use std::time;

use crate::{answered_question, ask_schedule};

/// Questions that are on their way over one connection, and the last one that was answered.
#[derive(Debug)]
pub(crate) struct Questions {
    /// Numbers of the questions on their way, with the times at which they were asked.
    asked: Vec<(u64, time::Instant)>,
    last_nonce: u64,
    /// When the connection was about to be opened.
    opened_at: time::Instant,
    answered: Option<answered_question::AnsweredQuestion>,
    pub(crate) schedule: ask_schedule::AskSchedule,
}

impl Questions {
    /// Starts without a question, on a connection that is opened at `now`.
    pub(crate) fn new(now: time::Instant) -> Self {
        Self {
            asked: Vec::new(),
            last_nonce: 0,
            opened_at: now,
            answered: None,
            schedule: ask_schedule::AskSchedule::default(),
        }
    }

    /// Records a question that is asked at `now` and returns its number.
    pub(crate) fn ask(&mut self, now: time::Instant) -> u64 {
        self.schedule.record_question(now);
        self.last_nonce += 1;
        self.asked.push((self.last_nonce, now));
        self.last_nonce
    }

    /// Records the answer to the question `nonce`, and returns when that was asked. Earlier
    /// questions are dropped with it. `None` if no such question is on its way.
    pub(crate) fn answer(&mut self, nonce: u64, is_confirmed: bool) -> Option<time::Instant> {
        self.schedule.record_answer(is_confirmed);
        let position = self.asked.iter().position(|(n, _)| *n == nonce)?;
        let (_, asked_at) = self.asked.drain(..=position).next_back()?;
        self.answered = Some(answered_question::AnsweredQuestion {
            nonce,
            asked_at,
            is_confirmed,
        });
        Some(asked_at)
    }

    /// The question `nonce`, if it is the last one that was answered.
    pub(crate) fn answered(&self, nonce: u64) -> Option<answered_question::AnsweredQuestion> {
        self.answered.filter(|answered| answered.nonce == nonce)
    }

    /// A time before the member has written what arrives now. A connection keeps the order of
    /// messages, but they may have waited on their way, or in the socket of this node, for any time.
    pub(crate) fn written_after(&self) -> time::Instant {
        let answered_at = self.answered.map(|answered| answered.asked_at);
        answered_at.unwrap_or(self.opened_at)
    }

    /// When the oldest question was asked that is on its way.
    pub(crate) fn oldest(&self) -> Option<time::Instant> {
        self.asked.first().map(|(_, at)| *at)
    }
}
