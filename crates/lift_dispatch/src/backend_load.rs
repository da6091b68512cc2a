//! Load of one backend server.

use std::time;

use crate::{backend_health, load_sample};

/// Age from which a sample is ignored. Agents send one every 50 ms; after this many are lost
/// the agent is taken to be down.
const SAMPLE_MAX_AGE: time::Duration = time::Duration::from_millis(400);

/// Gateways that are taken to have sent prompts since the last sample. To count all of them
/// leaves engines idle: a prompt that waits a little too long costs less than a place.
const UNREAD_FACTOR: u32 = 2;

/// Time in which a request reaches a backend server over any link that is not in trouble.
const ARRIVAL_TIME: time::Duration = time::Duration::from_millis(100);

/// Number of one request at one backend server.
pub type Ticket = u64;

/// Requests at a backend server: the last sample, corrected by what this gateway has begun
/// and ended since.
#[derive(Clone, Debug, Default)]
pub struct BackendLoad {
    own: u32,
    /// Requests of this gateway without the head of an answer, and when they were sent.
    unheard: Vec<(Ticket, time::Instant)>,
    next: Ticket,
    sample: Option<(load_sample::LoadSample, u32)>,
    /// Requests of this gateway that the last sample should have counted and did not.
    missing: u32,
    /// What recent attempts tell.
    pub health: backend_health::BackendHealth,
}

impl BackendLoad {
    /// Counts a request that this gateway sends at `now`.
    pub fn begin(&mut self, now: time::Instant) -> Ticket {
        self.own += 1;
        self.next += 1;
        self.unheard.push((self.next, now));
        self.next
    }

    /// Notes that the head of an answer has come.
    pub fn hear(&mut self, ticket: Ticket) {
        self.unheard.retain(|(unheard, _)| *unheard != ticket);
    }

    /// Counts the end of a request.
    pub fn end(&mut self, ticket: Ticket) {
        self.hear(ticket);
        self.own = self.own.saturating_sub(1);
    }

    /// Time to the head of an answer, in seconds: of recent answers, or of the oldest request
    /// that has none yet. Requests that queue on a narrow link show only in the latter.
    pub fn head_s(&self, now: time::Instant) -> f64 {
        let oldest = self.unheard.iter().map(|(_, at)| *at).min();
        let waited = oldest.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.health.head_s(now).unwrap_or_default().max(waited)
    }

    /// Requests of this gateway.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Takes in a sample.
    pub fn sample(&mut self, sample: load_sample::LoadSample) {
        let on_the_way = self
            .unheard
            .iter()
            .filter(|(_, at)| sample.at.saturating_duration_since(*at) < ARRIVAL_TIME);
        let arrived = self.own.saturating_sub(on_the_way.count() as u32);
        self.missing = arrived.saturating_sub(sample.requests);
        self.sample = Some((sample, self.own));
    }

    /// The last sample, if it is fresh enough to be used at `now`.
    pub fn fresh(&self, now: time::Instant) -> Option<&load_sample::LoadSample> {
        let (sample, _) = self.sample.as_ref()?;
        let age = now.saturating_duration_since(sample.at);
        (age < SAMPLE_MAX_AGE).then_some(sample)
    }

    /// Requests of this gateway that should have reached the backend server and have not, as of
    /// the last sample.
    pub fn missing(&self, now: time::Instant) -> u32 {
        self.fresh(now).map_or(0, |_| self.missing)
    }

    /// Whether an agent has reported before and does so no more.
    pub fn is_stale(&self, now: time::Instant) -> bool {
        self.sample.is_some() && self.fresh(now).is_none()
    }

    /// Requests that the backend server is likely to have at `now`. Of what the other gateways,
    /// of which there are `gateways` with this one, have begun nothing is known since the last
    /// sample, or at all without one: they are taken to send as much as this one.
    pub fn estimate(&self, now: time::Instant, gateways: u32) -> u32 {
        if self.fresh(now).is_none() {
            return self.own.saturating_mul(gateways.max(1));
        }
        let Some((sample, own_then)) = &self.sample else {
            return self.own;
        };
        (sample.requests + self.begun(gateways))
            .saturating_sub(own_then.saturating_sub(self.own))
            .max(self.own)
    }

    /// Requests whose prompts are read before that of one that is sent at `now`.
    pub fn unread(&self, now: time::Instant) -> u32 {
        let sample = self.fresh(now);
        sample.map_or(0, |sample| sample.unread + self.begun(UNREAD_FACTOR))
    }

    /// Requests that were begun since the last sample, if `gateways` have sent as much as this
    /// one.
    fn begun(&self, gateways: u32) -> u32 {
        let own_then = self.sample.as_ref().map_or(0, |(_, own_then)| *own_then);
        let own = self.own.saturating_sub(own_then);
        own.saturating_mul(gateways.max(1))
    }

    /// Whether nothing would be lost with this record.
    pub fn is_idle(&self, now: time::Instant) -> bool {
        self.own == 0 && self.fresh(now).is_none() && !self.health.is_avoided(now)
    }
}
