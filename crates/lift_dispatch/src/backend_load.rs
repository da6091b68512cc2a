//! Load of one backend server.

use std::time;

use crate::{backend_health, load_sample};

/// Age from which a sample is ignored. Agents send one every 50 ms; if all samples within this
/// time are lost, the agent is assumed to be down.
const MAX_SAMPLE_AGE: time::Duration = time::Duration::from_millis(400);

/// Number of gateways, including this one, that are assumed to have sent prompts since the last
/// sample. Counting all gateways leaves engines idle, and an idle slot costs more than a prompt
/// that waits a little too long.
const PREFILL_GATEWAYS: u32 = 2;

/// Time within which a request reaches a backend server over any healthy link.
const MAX_TRANSIT_TIME: time::Duration = time::Duration::from_millis(100);

/// Identifies one request at one backend server until it is finished.
pub type Ticket = u64;

/// Estimates the requests at a backend server: the last sample, corrected by the requests that
/// this gateway has started and finished since.
#[derive(Clone, Debug, Default)]
pub struct BackendLoad {
    /// Requests of this gateway in progress.
    own_requests: u32,
    /// Requests of this gateway without the head of an answer, and when they were sent.
    awaiting_head: Vec<(Ticket, time::Instant)>,
    last_ticket: Ticket,
    /// The last sample, and the requests of this gateway in progress when it arrived.
    sample: Option<(load_sample::LoadSample, u32)>,
    /// Requests of this gateway that the last sample should have counted but did not.
    missing_requests: u32,
    /// Health according to recent attempts.
    pub health: backend_health::BackendHealth,
}

impl BackendLoad {
    /// Counts a request that this gateway sends at `now`.
    pub fn start_request(&mut self, now: time::Instant) -> Ticket {
        self.own_requests += 1;
        self.last_ticket += 1;
        self.awaiting_head.push((self.last_ticket, now));
        self.last_ticket
    }

    /// Records that the head of the answer to a request has arrived.
    pub fn receive_head(&mut self, ticket: Ticket) {
        self.awaiting_head
            .retain(|(awaiting, _)| *awaiting != ticket);
    }

    /// Removes a request that has finished or failed.
    pub fn finish_request(&mut self, ticket: Ticket) {
        self.receive_head(ticket);
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Time to the head of an answer, in seconds: the larger of the recent average and the age
    /// of the oldest request without one. Requests that queue on a narrow link show only in
    /// the latter.
    pub fn head_latency_s(&self, now: time::Instant) -> f64 {
        let oldest = self.awaiting_head.iter().map(|(_, at)| *at).min();
        let waited = oldest.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
        self.health
            .head_latency_s(now)
            .unwrap_or_default()
            .max(waited)
    }

    /// Requests of this gateway in progress.
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Replaces the last sample, and counts the requests of this gateway that are missing in it
    /// although they were sent long enough ago to have arrived.
    pub fn record_sample(&mut self, sample: load_sample::LoadSample) {
        let in_transit = self
            .awaiting_head
            .iter()
            .filter(|(_, at)| sample.received_at.saturating_duration_since(*at) < MAX_TRANSIT_TIME);
        let arrived = self.own_requests.saturating_sub(in_transit.count() as u32);
        self.missing_requests = arrived.saturating_sub(sample.requests);
        self.sample = Some((sample, self.own_requests));
    }

    /// The last sample, if it is recent enough to be used at `now`.
    pub fn fresh_sample(&self, now: time::Instant) -> Option<&load_sample::LoadSample> {
        let (sample, _) = self.sample.as_ref()?;
        let age = now.saturating_duration_since(sample.received_at);
        (age < MAX_SAMPLE_AGE).then_some(sample)
    }

    /// Requests of this gateway that should have reached the backend server but are not counted
    /// in the last sample. 0 without a fresh sample.
    pub fn missing_requests(&self, now: time::Instant) -> u32 {
        self.fresh_sample(now).map_or(0, |_| self.missing_requests)
    }

    /// Whether an agent has reported before and has stopped reporting.
    pub fn is_stale(&self, now: time::Instant) -> bool {
        self.sample.is_some() && self.fresh_sample(now).is_none()
    }

    /// Estimates the requests at the backend server at `now`. `gateways` counts all gateways
    /// including this one. Each of the others is assumed to have added as many requests as this
    /// one since the last sample or, without a fresh sample, to have as many in progress.
    pub fn estimate_requests(&self, now: time::Instant, gateways: u32) -> u32 {
        if self.fresh_sample(now).is_none() {
            return self.own_requests.saturating_mul(gateways.max(1));
        }
        let Some((sample, own_at_sample)) = &self.sample else {
            return self.own_requests;
        };
        sample
            .requests
            .saturating_add(self.added_since_sample(gateways))
            .saturating_sub(own_at_sample.saturating_sub(self.own_requests))
            .max(self.own_requests)
    }

    /// Requests that this gateway may still send on the last sample, to a server with `places`
    /// in all. `own_share` tells how many of the free ones are this gateway's, from their number
    /// and the random number of the sample. `None` without a fresh sample.
    pub fn own_places(
        &self,
        now: time::Instant,
        places: f64,
        own_share: &dyn Fn(f64, f64) -> u32,
    ) -> Option<u32> {
        let sample = self.fresh_sample(now)?;
        let free = (places - f64::from(sample.requests)).max(0.0);
        let own = own_share(free, sample.random);
        Some(own.saturating_sub(self.added_since_sample(1)))
    }

    /// Estimates the requests whose prompts the engine reads before the prompt of a request
    /// that is sent at `now`.
    pub fn prompts_ahead(&self, now: time::Instant) -> u32 {
        let sample = self.fresh_sample(now);
        sample.map_or(0, |sample| {
            let added = self.added_since_sample(PREFILL_GATEWAYS);
            sample.queued_prompts.saturating_add(added)
        })
    }

    /// Requests that `gateways` gateways have added since the last sample, if each has added as
    /// many as this one. Finished requests are subtracted from started ones.
    fn added_since_sample(&self, gateways: u32) -> u32 {
        let own_at_sample = self
            .sample
            .as_ref()
            .map_or(0, |(_, own_at_sample)| *own_at_sample);
        let own = self.own_requests.saturating_sub(own_at_sample);
        own.saturating_mul(gateways.max(1))
    }

    /// Whether the record can be dropped: there are no requests in progress, no fresh sample
    /// and no backoff.
    pub fn is_idle(&self, now: time::Instant) -> bool {
        self.own_requests == 0 && self.fresh_sample(now).is_none() && !self.health.is_avoided(now)
    }
}
