//! Cost of a request at a backend server.

use std::time;

use crate::{backend, backend_load, backend_selector};

/// Cost of a backend server in another region where no distances are set, as a share of its slots:
/// it is selected only if it is less loaded by at least this much. Links between regions are narrow
/// and cost money, and at peak load a quarter of the slots is taken within a second.
const REMOTE_REGION_PENALTY: f64 = 0.25;

/// Cost of a backend server all of whose recent attempts failed, as a share of its slots.
const FAILURE_PENALTY: f64 = 2.0;

/// Cost of a silent backend server, as a share of its slots. High enough that it usually gets
/// a request only if no other can accept it, since gateways allow the others at most three
/// requests per slot.
const SILENT_PENALTY: f64 = 4.0;

/// Cost of a backend server whose agent has stopped reporting, as a share of its slots. Its host
/// or link may be failing, but possibly only the agent is.
const STALE_REPORT_PENALTY: f64 = 0.3;

/// Head latency that adds no cost, as a share of the target latency.
const FREE_HEAD_SHARE: f64 = 0.6;

/// Head latency above which a backend server gets a request only if no other can run it, as a
/// share of the target latency.
const STALLED_HEAD_SHARE: f64 = 2.0;

/// Largest cost of a high head latency, as a share of the slots.
const MAX_HEAD_PENALTY: f64 = 1.5;

/// Cost of a wait before the first event, as a multiple of the share of the target latency that it
/// takes. A prompt ahead delays the first event by the whole time in which the engine reads it,
/// a request whose prompt was read hardly delays it.
const WAIT_WEIGHT: f64 = 3.0;

impl backend_selector::BackendSelector<'_> {
    /// Cost as a share of the slots of the server, with `requests` there.
    pub(crate) fn cost(
        &self,
        backend: &backend::Backend,
        load: &backend_load::BackendLoad,
        requests: u32,
    ) -> f64 {
        let is_remote = backend.region.as_deref().is_some_and(|r| r != self.region);
        let distance = match self.distances {
            Some(distances) => self.wait_cost(distances.cost(backend)),
            None if is_remote => REMOTE_REGION_PENALTY,
            None => 0.0,
        };
        let silent = if backend.is_silent {
            SILENT_PENALTY
        } else {
            0.0
        };
        let used = f64::from(requests) / f64::from(backend.slots);
        let stale = if load.is_stale(self.now) {
            STALE_REPORT_PENALTY
        } else {
            0.0
        };
        let failures = load.health.failure_rate() * FAILURE_PENALTY;
        let congestion = self.link_percent(load).map_or(0, |p| 100 - p.min(100));
        let congestion = f64::from(congestion) / 100.0;
        used + self.prompts_cost(load)
            + distance
            + silent
            + stale
            + failures
            + congestion
            + self.head_penalty(load)
    }

    /// Cost of the prompts that the engine reads before that of this request.
    fn prompts_cost(&self, load: &backend_load::BackendLoad) -> f64 {
        let wait = self
            .prefill_time
            .saturating_mul(load.prompts_ahead(self.now));
        self.wait_cost(wait)
    }

    /// Cost of a wait before the first event, as a share of the slots.
    fn wait_cost(&self, wait: time::Duration) -> f64 {
        let target_s = self.target_latency.as_secs_f64().max(f64::MIN_POSITIVE);
        WAIT_WEIGHT * wait.as_secs_f64() / target_s
    }

    /// Whether answers of the backend server are so late that its engine or link has probably
    /// stalled.
    pub(crate) fn is_stalled(&self, load: &backend_load::BackendLoad) -> bool {
        self.head_share(load) > STALLED_HEAD_SHARE
    }

    /// Time to the head of an answer, as a share of the target latency.
    fn head_share(&self, load: &backend_load::BackendLoad) -> f64 {
        load.head_latency_s(self.now) / self.target_latency.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Cost of a slow engine or link. The shorter the target latency, the higher the cost of the
    /// same delay.
    pub(crate) fn head_penalty(&self, load: &backend_load::BackendLoad) -> f64 {
        (self.head_share(load) - FREE_HEAD_SHARE).clamp(0.0, MAX_HEAD_PENALTY)
    }
}
