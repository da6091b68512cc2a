//! Records of one request in loads, counters, histograms and the log.

use std::time;

use crate::{body_error, exchange, request_run, server_probe};

impl request_run::RequestRun {
    /// Records and logs an attempt that failed before the body of its answer was read.
    pub(crate) fn record_failed_attempt(
        &mut self,
        backend: &lift_dispatch::Backend,
        failure: lift_dispatch::AttemptFailure,
        sent_at: time::Instant,
    ) {
        match failure.has_reached_server() {
            true => self.servers_reached += 1,
            false => self.unsent_attempts += 1,
        }
        self.may_have_run |= !failure.is_not_run();
        self.record_failure(backend, failure);
        if failure == lift_dispatch::AttemptFailure::Silent {
            self.record_head_latency(backend, sent_at);
        }
        let now = lift_clock::now();
        let took = now.saturating_duration_since(sent_at);
        self.shared.log.write_limited(|log| {
            let (own, sample) = self.shared.loads.read(backend.address, |load| {
                (load.own_requests(), load.fresh_sample(now).cloned())
            });
            let sample_age = sample
                .as_ref()
                .map(|s| now.saturating_duration_since(s.received_at));
            slog::info!(log, "attempt failed"; "request" => &self.head.id,
                "backend" => &backend.id, "address" => backend.address, "end" => %failure,
                "took_ms" => took.as_millis() as u64, "arrived" => self.servers_reached,
                "own" => own, "sample_age_ms" => sample_age.map(|a| a.as_millis() as u64),
                "requests" => sample.as_ref().map(|s| s.requests),
                "unread" => sample.as_ref().map(|s| s.queued_prompts),
                "link_percent" => sample.as_ref().and_then(|s| s.link_percent));
        });
    }

    /// Records the time since the request was sent as the head latency of `backend`.
    pub(crate) fn record_head_latency(
        &self,
        backend: &lift_dispatch::Backend,
        sent_at: time::Instant,
    ) {
        let now = lift_clock::now();
        let took = now.saturating_duration_since(sent_at);
        self.shared.loads.update(backend.address, |load| {
            load.health.record_head_latency(now, took)
        });
    }

    /// Records a request that has started on weights for which a newer target version is set, and
    /// logs one that has started after the time in which such requests are sent.
    /// `docs/OPERATIONS.md` uses the line to find requests that wait too long at a backend server.
    pub(crate) fn record_start(&self, exchange: &exchange::Exchange, sent_at: time::Instant) {
        let now = lift_clock::now();
        let fleet = &self.shared.fleet;
        let model = self.weights_requirement.model.as_deref();
        let Some((model, version)) = model.zip(exchange.head.weights) else {
            return;
        };
        let Some(superseded_for) = fleet.superseded_for(now, model, version) else {
            return;
        };
        let latencies = &self.shared.latencies;
        let kind = <&str>::from(self.route.kind);
        latencies.record("gateway.superseded_start", kind, superseded_for);
        if superseded_for <= self.shared.limits.weights_grace {
            return;
        }
        self.shared.counters.increment("gateway.late_starts");
        let waited = now.saturating_duration_since(sent_at);
        self.shared.log.write_limited(|log| {
            slog::warn!(log, "started late on superseded weights"; "request" => &self.head.id,
                "backend" => &exchange.in_flight.backend().id, "version" => version,
                "superseded_for_ms" => superseded_for.as_millis() as u64,
                "waited_ms" => waited.as_millis() as u64);
        });
    }

    /// Counts a failed attempt and records it in the health of `backend`.
    pub(crate) fn record_failure(
        &self,
        backend: &lift_dispatch::Backend,
        failure: lift_dispatch::AttemptFailure,
    ) {
        let shared = &self.shared;
        shared
            .counters
            .increment_member("attempt", <&str>::from(failure));
        let now = lift_clock::now();
        shared.note_failure(now, backend, failure);
        shared.loads.update(backend.address, |load| match failure {
            lift_dispatch::AttemptFailure::NotSent
            | lift_dispatch::AttemptFailure::Silent
            | lift_dispatch::AttemptFailure::WrongServer => load.health.record_unreachable(now),
            _ => load.health.record_failure(),
        });
    }

    /// Records an answer that was read to its end, in the health of `backend`, the durations of the
    /// service and the latencies.
    pub(crate) fn record_success(&self, backend: &lift_dispatch::Backend) {
        let took = lift_clock::now().saturating_duration_since(self.started);
        let shared = &self.shared;
        shared
            .loads
            .update(backend.address, |load| load.health.record_success());
        shared.with_service_latency(&self.service, |latency| {
            latency.record_duration(took);
        });
        shared
            .latencies
            .record("gateway.request", <&str>::from(self.route.kind), took);
    }

    /// Records the end of `backend` as evidence against the parts of the prompt, if an attempt
    /// broke because the backend server has ended.
    pub(crate) async fn record_break(
        &self,
        backend: &lift_dispatch::Backend,
        failure: lift_dispatch::AttemptFailure,
    ) {
        let is_break = failure == lift_dispatch::AttemptFailure::Broken;
        if !is_break {
            return;
        }
        if !server_probe::has_ended(backend.address).await {
            return;
        }
        self.shared.log.write_limited(|log| {
            slog::info!(log, "backend server ended on a request"; "request" => &self.head.id,
                "backend" => &backend.id, "parts" => self.head.parts.join(","),
                "digest" => self.digest().as_suspect());
        });
        let suspects = self.suspects_with_digest();
        self.shared.parts.record_crash(&backend.id, &suspects);
    }

    /// Writes the loads on which the request was refused.
    pub(crate) fn log_loads(&self, error: lift_dispatch::SelectionError) {
        let now = lift_clock::now();
        self.shared.log.write_limited(|log| {
            let backends = self.shared.fleet.backends();
            let loads = backends.backends(&self.service).iter().map(|backend| {
                self.shared.loads.read(backend.address, |load| {
                    let sample = load.fresh_sample(now);
                    lift_dispatch::ConsideredLoad {
                        backend: backend.id.clone(),
                        requests: load.estimate_requests(now, 1),
                        slots: backend.slots,
                        age: sample.map(|s| now.saturating_duration_since(s.received_at)),
                    }
                })
            });
            let loads = lift_dispatch::ConsideredLoads::new(loads.collect());
            slog::info!(log, "no backend server selected"; "request" => &self.head.id,
                "service" => &self.service, "reason" => %error, "loads" => %loads);
        });
    }

    /// Writes the last log line of the request.
    pub(crate) fn log_outcome(&self, outcome: &str, status: u16, backend: &str) {
        let now = lift_clock::now();
        let took = now.saturating_duration_since(self.started);
        let confirmed = self.shared.fleet.confirmation_age(now);
        self.shared.log.write_limited(|log| {
            slog::info!(log, "request ended"; "request" => &self.head.id,
                "route" => &self.route.name, "service" => &self.service,
                "workspace" => self.workspace.as_deref(), "outcome" => outcome,
                "status" => status, "backend" => backend, "arrived" => self.servers_reached,
                "unsent" => self.unsent_attempts, "took_ms" => took.as_millis() as u64,
                "document" => self.document_version,
                "at_least" => self.weights_requirement.min_version,
                "confirmed_age_ms" => confirmed.map(|a| a.as_millis() as u64));
        });
    }

    /// Records a stream that could not be completed.
    pub(crate) fn record_broken_stream(&self, error: body_error::BodyError, backend: &str) {
        self.shared.counters.increment("gateway.streams_broken");
        self.log_outcome(&error.to_string(), 200, backend);
    }
}
