//! What one request leaves in loads, counters and the log.

use std::time;

use crate::{body_error, request_run};

impl request_run::RequestRun {
    /// Counts an attempt that ended without an answer.
    pub(crate) fn note(
        &mut self,
        backend: &lift_dispatch::Backend,
        end: lift_dispatch::AttemptFailure,
        sent_at: time::Instant,
    ) {
        match end.has_reached_server() {
            true => self.arrived += 1,
            false => self.unsent += 1,
        }
        self.has_run |= !end.is_not_run();
        self.note_failure(backend, end);
        if end == lift_dispatch::AttemptFailure::Silent {
            self.note_head(backend, sent_at);
        }
        let now = lift_clock::now();
        let took = now.saturating_duration_since(sent_at);
        self.shared.log.decision(|log| {
            let (own, sample) = self.shared.loads.read(backend.address, |load| {
                (load.own_requests(), load.fresh_sample(now).cloned())
            });
            let sample_age = sample
                .as_ref()
                .map(|s| now.saturating_duration_since(s.received_at));
            slog::info!(log, "attempt failed"; "request" => &self.head.id,
                "backend" => &backend.id, "address" => backend.address, "end" => %end,
                "took_ms" => took.as_millis() as u64, "arrived" => self.arrived,
                "own" => own, "sample_age_ms" => sample_age.map(|a| a.as_millis() as u64),
                "requests" => sample.as_ref().map(|s| s.requests),
                "unread" => sample.as_ref().map(|s| s.queued_prompts),
                "link_percent" => sample.as_ref().map(|s| s.link_percent));
        });
    }

    pub(crate) fn note_head(&self, backend: &lift_dispatch::Backend, sent_at: time::Instant) {
        let now = lift_clock::now();
        let took = now.saturating_duration_since(sent_at);
        self.shared.loads.change(backend.address, |load| {
            load.health.record_head_latency(now, took)
        });
    }

    pub(crate) fn note_failure(
        &self,
        backend: &lift_dispatch::Backend,
        end: lift_dispatch::AttemptFailure,
    ) {
        let shared = &self.shared;
        shared
            .counters
            .increment_member("attempt", <&str>::from(end));
        let now = lift_clock::now();
        shared.loads.change(backend.address, |load| match end {
            lift_dispatch::AttemptFailure::NotSent
            | lift_dispatch::AttemptFailure::Silent
            | lift_dispatch::AttemptFailure::WrongServer => load.health.record_unreachable(now),
            _ => load.health.record_failure(),
        });
    }

    /// Counts an answer that was passed on whole.
    pub(crate) fn succeed(&self, backend: &lift_dispatch::Backend) {
        let took = lift_clock::now().saturating_duration_since(self.started);
        let shared = &self.shared;
        shared
            .loads
            .change(backend.address, |load| load.health.record_success());
        shared.with_pace(&self.service, |pace| pace.add(took));
        shared
            .latencies
            .record("gateway.request", <&str>::from(self.route.kind), took);
    }

    /// Writes the line that ends the request.
    pub(crate) fn log_end(&self, outcome: &str, status: u16, backend: &str) {
        let now = lift_clock::now();
        let took = now.saturating_duration_since(self.started);
        let confirmed = self.shared.fleet.confirmation_age(now);
        self.shared.log.decision(|log| {
            slog::info!(log, "request ended"; "request" => &self.head.id,
                "route" => &self.route.name, "service" => &self.service,
                "workspace" => self.workspace.as_deref(), "outcome" => outcome,
                "status" => status, "backend" => backend, "arrived" => self.arrived,
                "unsent" => self.unsent, "took_ms" => took.as_millis() as u64,
                "document" => self.document, "at_least" => self.need.min_version,
                "confirmed_age_ms" => confirmed.map(|a| a.as_millis() as u64));
        });
    }

    /// Ends a stream that can't go on.
    pub(crate) fn break_off(&self, error: body_error::BodyError, backend: &str) {
        self.shared.counters.increment("gateway.streams_broken");
        self.log_end(&error.to_string(), 200, backend);
    }
}
