//! Time limits of an attempt.

use std::time;

use crate::request_run;

/// Timeout for the head of the answer to an idempotent request, in multiples of the target latency.
/// After it, the request may be retried at another backend server.
const HEAD_TIMEOUT_FACTOR: u32 = 2;

/// Timeout for the head of a resumable stream, in multiples of the target latency. Reading a long
/// prompt after other prompts takes twice the target latency.
const STREAM_HEAD_TIMEOUT_FACTOR: u32 = 3;

impl request_run::RequestRun {
    /// Time until which an attempt that starts at `now` waits for the head of the answer. The last
    /// attempt, and one that can't be repeated, may use all the time until the deadline. A stream
    /// on a version whose time runs out must start before that.
    pub(crate) fn attempt_deadline(
        &self,
        now: time::Instant,
        version_held: Option<lift_fleet::WeightsVersion>,
    ) -> time::Instant {
        let deadline = self.head_deadline(now);
        let model = self.weights_requirement.model.as_deref();
        let must_start_at = model
            .zip(version_held)
            .filter(|_| self.route.kind.is_repeatable())
            .and_then(|(model, version)| self.shared.fleet.start_deadline(model, version));
        must_start_at.map_or(deadline, |at| deadline.min(at))
    }

    /// Time until which a backend server that holds `version_held` may work on the request.
    pub(crate) fn work_deadline(
        &self,
        now: time::Instant,
        version_held: Option<lift_fleet::WeightsVersion>,
    ) -> time::Instant {
        let model = self.weights_requirement.model.as_deref();
        let limit = model
            .zip(version_held)
            .and_then(|(model, version)| self.shared.fleet.work_deadline(now, model, version));
        limit.map_or(self.deadline, |at| self.deadline.min(at))
    }

    fn head_deadline(&self, now: time::Instant) -> time::Instant {
        let is_last = self.servers_reached + 1 >= self.route.max_attempts;
        if is_last || !self.route.kind.is_repeatable() {
            return self.deadline;
        }
        let factor = match self.route.kind.is_stream() {
            true => STREAM_HEAD_TIMEOUT_FACTOR,
            false => HEAD_TIMEOUT_FACTOR,
        };
        self.deadline.min(now + self.route.target_latency * factor)
    }
}
