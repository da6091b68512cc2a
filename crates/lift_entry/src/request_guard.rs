//! Protection of backend servers against requests that end them.

use std::{sync, sync::atomic, time};

use crate::{caller_request, host_ends};

/// Time after the last end of a backend server for which requests are watched. An end no longer
/// counts then, and each quarantine is over.
const WATCH_TIME: time::Duration = time::Duration::from_mins(10);

/// Applies the decisions of [`lift_dispatch::PartQuarantine`] to whole requests at this entry.
///
/// The only part of a request is its digest, so a request is suspected by itself. Each entry
/// decides from what its own requests have met. While no backend server ends, nothing is kept and
/// no lock is taken. See `docs/design.md`, section 8.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    /// Whether [`Self::watch`] is in use.
    is_watching: atomic::AtomicBool,
    /// One lock for all requests, since a decision compares the ends of many.
    watch: parking_lot::Mutex<Option<Watch>>,
    logger: slog::Logger,
    counters: sync::Arc<lift_obs::Counters>,
}

/// What is kept while requests are watched.
#[derive(Debug)]
struct Watch {
    quarantine: lift_dispatch::PartQuarantine,
    host_ends: host_ends::HostEnds,
    ends_at: time::Instant,
}

impl RequestGuard {
    pub(crate) fn new(logger: slog::Logger, counters: sync::Arc<lift_obs::Counters>) -> Self {
        Self {
            is_watching: atomic::AtomicBool::new(false),
            watch: parking_lot::Mutex::new(None),
            logger,
            counters,
        }
    }

    /// The time for which the request is kept from backend servers; `None` if it may be sent.
    pub(crate) fn time_blocked(
        &self,
        req: &caller_request::CallerRequest,
    ) -> Option<time::Duration> {
        self.with_watch(req, |watch, now, digest| {
            let blocked = watch.quarantine.blocked(now, &[String::from(digest)]);
            blocked.map(|blocked| blocked.time_left)
        })
        .flatten()
    }

    /// Whether the request may be sent to another backend server after an attempt has failed.
    pub(crate) fn may_repeat(&self, req: &caller_request::CallerRequest) -> bool {
        if !lift_route::RetryPolicy.may_follow_ends(req.suspect.ends()) {
            return false;
        }
        let allowed = self.with_watch(req, |watch, now, digest| {
            watch.quarantine.may_repeat(now, &[String::from(digest)])
        });
        allowed.unwrap_or(true)
    }

    /// Records a failed attempt at `host`, which counts if the backend server ended.
    pub(crate) fn record_failure(
        &self,
        req: &caller_request::CallerRequest,
        host: lift_types::HostId,
        failure: lift_route::AttemptFailure,
    ) {
        if failure != lift_route::AttemptFailure::BackendEnded {
            return;
        }
        req.suspect.count_end();
        self.counters.increment("entry.backend_ended");
        slog::info!(self.logger, "backend server ended on a request";
            "host" => host, "service" => &req.service, "digest" => req.digest().as_suspect());
        self.start_watch();
        self.with_watch(req, |watch, now, digest| {
            let backend = watch.host_ends.name(now, host);
            let parts = [String::from(digest)];
            watch.quarantine.record_crash(now, now, &backend, &parts);
        });
    }

    /// Records that the answer to the request was complete. One with the status of a failure of the
    /// server does not show that the request can be run.
    pub(crate) fn record_answer(&self, req: &caller_request::CallerRequest, status: u16) {
        if status >= http::StatusCode::INTERNAL_SERVER_ERROR.as_u16() {
            return;
        }
        self.with_watch(req, |watch, now, digest| {
            watch.quarantine.record_answer(now, digest);
        });
    }

    fn start_watch(&self) {
        let ends_at = time::Instant::now() + WATCH_TIME;
        let mut watch = self.watch.lock();
        let watch = watch.get_or_insert_with(|| Watch {
            quarantine: lift_dispatch::PartQuarantine::default(),
            host_ends: host_ends::HostEnds::default(),
            ends_at,
        });
        watch.ends_at = ends_at;
        self.is_watching.store(true, atomic::Ordering::Release);
    }

    /// Calls `f` with what is kept and the digest of the request, and logs the quarantines that
    /// have started or ended. Returns `None` while requests are not watched.
    fn with_watch<R>(
        &self,
        req: &caller_request::CallerRequest,
        f: impl FnOnce(&mut Watch, time::Instant, &str) -> R,
    ) -> Option<R> {
        if !self.is_watching.load(atomic::Ordering::Acquire) {
            return None;
        }
        let digest = req.digest().as_suspect();
        let now = time::Instant::now();
        let (result, changes) = {
            let mut guard = self.watch.lock();
            let watch = guard.as_mut()?;
            let mut changes = watch.quarantine.update(now);
            if now >= watch.ends_at {
                *guard = None;
                self.is_watching.store(false, atomic::Ordering::Release);
                (None, changes)
            } else {
                let result = f(watch, now, digest);
                changes.extend(watch.quarantine.update(now));
                (Some(result), changes)
            }
        };
        for change in &changes {
            self.log_change(change);
        }
        result
    }

    fn log_change(&self, change: &lift_dispatch::QuarantineChange) {
        match change {
            lift_dispatch::QuarantineChange::Started { parts, ends, lasts } => {
                self.counters.increment("entry.requests_quarantined");
                slog::warn!(self.logger, "request quarantined"; "digest" => parts.join(","),
                    "backends_ended" => ends, "lasts_ms" => lasts.as_millis() as u64);
            }
            lift_dispatch::QuarantineChange::Narrowed { .. } => {}
            lift_dispatch::QuarantineChange::Answered { part } => {
                slog::info!(self.logger, "request released"; "digest" => part,
                    "reason" => "answered");
            }
            lift_dispatch::QuarantineChange::Expired { parts } => {
                slog::info!(self.logger, "request released"; "digest" => parts.join(","),
                    "reason" => "expired");
            }
        }
    }
}
