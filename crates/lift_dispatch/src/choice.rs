//! Choice of a backend server.

use std::{sync, time};

use crate::{backend, backend_load, choice_reason, offer, weights_need};

/// Share of the places by which a backend server in another region must be less loaded to be
/// chosen. Links between regions are narrow and priced, and places are taken by the quarter
/// within a second at the peak.
const FAR_PENALTY: f64 = 0.25;

/// Cost of a backend server all of whose recent attempts failed, in shares of its places.
const FAILING_PENALTY: f64 = 2.0;

/// Cost of one that is silent, in shares of its places. It gets a request only where all
/// others are well over their places.
const SILENT_PENALTY: f64 = 4.0;

/// Cost of one whose agent has stopped to report, in shares of its places. Its host or link may
/// be in trouble, but the agent alone may be too.
const STALE_PENALTY: f64 = 0.3;

/// Part of the wanted latency that the head of an answer may take at no cost.
const FREE_HEAD: f64 = 0.6;

/// Share of the wanted latency from which a backend server gets a request only where no other
/// can take it.
const STUCK_HEAD: f64 = 2.0;

/// Largest cost of slow heads, in shares of the places.
const MAX_HEAD_PENALTY: f64 = 1.5;

/// Part of the wanted latency that may pass until the prompt has been read. The rest is for
/// the way there and back, and for the tokens of others between the parts of a prompt.
const READ_PART: f64 = 0.75;

/// Share of the usual traffic below which the link of a backend server counts as jammed, in
/// percent. Requests wait there for seconds, and so do the resets of those that are given up.
const JAMMED_PERCENT: u32 = 25;

/// Requests that may be missing in a load report. One may have ended there a moment ago.
const MAX_MISSING: u32 = 1;

/// One of this many backend servers may look jammed. Where more do, control members are likely
/// to be slow, against which agents measure their links.
const JAMMED_PART: usize = 3;

/// Whether a backend server is to be avoided, and its cost in shares of its places.
pub(crate) type Cost = (bool, f64);

/// Reads the load of one backend server.
pub type ReadLoad<'a> = &'a dyn Fn(&backend_load::BackendLoad) -> offer::Offer;

/// Inputs of the choice for one attempt.
#[derive(Debug)]
pub struct Choice<'a> {
    /// Time of the choice.
    pub now: time::Instant,
    /// Region of the gateway.
    pub region: &'a str,
    /// Gateways that share the backend servers, this one included.
    pub gateways: u32,
    /// Weights that the request needs.
    pub need: &'a weights_need::WeightsNeed,
    /// Requests over its places that a backend server may have, as a share of its places.
    pub queue_share: f64,
    /// Time to read the usual prompt. Zero where nothing is to be read.
    pub read_time: time::Duration,
    /// Latency that callers want.
    pub target: time::Duration,
    /// Backend servers that have had the request.
    pub tried: &'a [lift_fleet::BackendId],
}

impl Choice<'_> {
    /// Picks the backend server with the lowest cost among those that have room. `look` lets
    /// the load of one be read where it is kept; `draw` is a random number that spreads equal
    /// ones.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn pick(
        &self,
        backends: &[sync::Arc<backend::Backend>],
        look: &dyn Fn(&backend::Backend, ReadLoad<'_>) -> offer::Offer,
        draw: usize,
    ) -> Result<sync::Arc<backend::Backend>, choice_reason::ChoiceReason> {
        if backends.is_empty() {
            return Err(choice_reason::ChoiceReason::NoBackend);
        }
        let mut free = Lowest::default();
        let mut behind_jam = Lowest::default();
        let mut jammed = 0;
        let mut reason = choice_reason::ChoiceReason::Tried;
        let start = draw % backends.len();
        for backend in backends[start..].iter().chain(&backends[..start]) {
            if self.tried.contains(&backend.id) {
                continue;
            }
            let offer = look(backend, &|load| self.offer(backend, load));
            jammed += usize::from(offer.is_jammed);
            match offer.cost {
                Ok(cost) if offer.is_jammed => behind_jam.compare(cost, backend),
                Ok(cost) => free.compare(cost, backend),
                Err(unable) => reason = worse(reason, unable),
            }
        }
        if free.0.is_none() && behind_jam.0.is_some() && jammed * JAMMED_PART <= backends.len() {
            return Err(choice_reason::ChoiceReason::Full);
        }
        let best = free.0.or(behind_jam.0);
        best.map(|(_, backend)| sync::Arc::clone(backend))
            .ok_or(reason)
    }

    /// Whether hardly anything gets through, as the agent reports or as the requests tell that
    /// it has not seen.
    fn is_jammed(&self, load: &backend_load::BackendLoad) -> bool {
        let sample = load.fresh(self.now);
        let is_narrow = sample.is_some_and(|sample| sample.link_percent < JAMMED_PERCENT);
        is_narrow || load.missing(self.now) > MAX_MISSING
    }

    fn offer(&self, backend: &backend::Backend, load: &backend_load::BackendLoad) -> offer::Offer {
        let is_jammed = self.is_jammed(load);
        offer::Offer {
            is_jammed,
            cost: self.cost_of(backend, load, is_jammed),
        }
    }

    /// What a request costs at one backend server, or why it can't go there.
    fn cost_of(
        &self,
        backend: &backend::Backend,
        load: &backend_load::BackendLoad,
        is_jammed: bool,
    ) -> Result<Cost, choice_reason::ChoiceReason> {
        if !self.is_able(backend, load, is_jammed) {
            return Err(choice_reason::ChoiceReason::NoWeights);
        }
        let estimate = load.estimate(self.now, self.gateways);
        if !self.has_room(backend, estimate) || !self.is_read_in_time(load) {
            return Err(choice_reason::ChoiceReason::Full);
        }
        let is_avoided = load.health.is_avoided(self.now) || self.is_stuck(load);
        Ok((is_avoided, self.cost(backend, load, estimate)))
    }

    /// Whether it holds what the request needs. A fresh sample goes before the announcement.
    fn is_able(
        &self,
        backend: &backend::Backend,
        load: &backend_load::BackendLoad,
        is_jammed: bool,
    ) -> bool {
        match load.fresh(self.now) {
            Some(sample) => {
                let is_slow =
                    self.head_penalty(load) > 0.0 || sample.link_percent < 100 || is_jammed;
                !sample.is_loading && self.need.is_met_by(&sample.models, is_slow)
            }
            None => self.need.is_met_by(&backend.models, true),
        }
    }

    fn has_room(&self, backend: &backend::Backend, estimate: u32) -> bool {
        let places = f64::from(backend.slots) * (1.0 + self.queue_share);
        f64::from(estimate) + 1.0 <= places.max(1.0)
    }

    /// Whether the prompt is read soon enough.
    fn is_read_in_time(&self, load: &backend_load::BackendLoad) -> bool {
        let unread = load.unread(self.now);
        unread == 0 || self.read_time * (unread + 1) <= self.target.mul_f64(READ_PART)
    }

    fn cost(
        &self,
        backend: &backend::Backend,
        load: &backend_load::BackendLoad,
        estimate: u32,
    ) -> f64 {
        let is_far = backend.region.as_deref().is_some_and(|r| r != self.region);
        let far = if is_far { FAR_PENALTY } else { 0.0 };
        let silent = if backend.is_silent {
            SILENT_PENALTY
        } else {
            0.0
        };
        let used = f64::from(estimate) / f64::from(backend.slots);
        let stale = if load.is_stale(self.now) {
            STALE_PENALTY
        } else {
            0.0
        };
        let failing = load.health.failing() * FAILING_PENALTY;
        let crowded = load
            .fresh(self.now)
            .map_or(0, |s| 100 - s.link_percent.min(100));
        let crowded = f64::from(crowded) / 100.0;
        used + far + silent + stale + failing + crowded + self.head_penalty(load)
    }

    /// Whether nothing gets through to it at present.
    fn is_stuck(&self, load: &backend_load::BackendLoad) -> bool {
        self.head_share(load) > STUCK_HEAD
    }

    /// Time to the head of an answer as a share of the wanted latency.
    fn head_share(&self, load: &backend_load::BackendLoad) -> f64 {
        load.head_s(self.now) / self.target.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Cost of an engine or a link that is slow. Short wanted latencies weigh the same time
    /// more.
    fn head_penalty(&self, load: &backend_load::BackendLoad) -> f64 {
        (self.head_share(load) - FREE_HEAD).clamp(0.0, MAX_HEAD_PENALTY)
    }
}

/// The backend server with the lowest cost so far.
#[derive(Default)]
struct Lowest<'a>(Option<(Cost, &'a sync::Arc<backend::Backend>)>);

impl<'a> Lowest<'a> {
    fn compare(&mut self, cost: Cost, backend: &'a sync::Arc<backend::Backend>) {
        if self.0.is_none_or(|(lowest, _)| cost < lowest) {
            self.0 = Some((cost, backend));
        }
    }
}

/// The reason that a caller can do most about: a full service has room again soon.
fn worse(
    known: choice_reason::ChoiceReason,
    new: choice_reason::ChoiceReason,
) -> choice_reason::ChoiceReason {
    match known {
        choice_reason::ChoiceReason::Full => known,
        _ => new,
    }
}
