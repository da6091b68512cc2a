//! Protection of backend servers against parts of prompts that crash them.

use std::{sync, sync::atomic, time};

use crate::sighting_queue;

/// Added to the clock, so that the time of an old sighting can be expressed on a host whose clock
/// has just started.
const CLOCK_OFFSET: time::Duration = time::Duration::from_hours(1);

/// Applies the decisions of [`lift_dispatch::PartQuarantine`] to the requests of this gateway, and
/// exchanges observations with the other gateways.
#[derive(Debug)]
pub(crate) struct PartGuard {
    /// One lock for all parts, since a decision compares the parts of many requests. Requests
    /// without parts don't take it.
    quarantine: parking_lot::Mutex<lift_dispatch::PartQuarantine>,
    /// Whether anything is suspected or quarantined.
    is_alert: atomic::AtomicBool,
    /// What the other gateways should know.
    pub(crate) sightings: sighting_queue::SightingQueue,
    log: slog::Logger,
    counters: sync::Arc<lift_obs::Counters>,
}

impl PartGuard {
    pub(crate) fn new(log: slog::Logger, counters: sync::Arc<lift_obs::Counters>) -> Self {
        Self {
            quarantine: parking_lot::Mutex::default(),
            is_alert: atomic::AtomicBool::new(false),
            sightings: sighting_queue::SightingQueue::default(),
            log,
            counters,
        }
    }

    /// Whether nothing is suspected, so that no digests of whole requests are needed.
    pub(crate) fn is_calm(&self) -> bool {
        !self.is_alert.load(atomic::Ordering::Relaxed)
    }

    /// The quarantine that keeps a request with these parts from backend servers, if any.
    pub(crate) fn blocked(
        &self,
        parts: &[lift_fleet::PromptPart],
    ) -> Option<lift_dispatch::BlockedParts> {
        if parts.is_empty() {
            return None;
        }
        self.with_quarantine(|quarantine, now| quarantine.blocked(now, parts))
    }

    /// Whether a request with these parts may be repeated after an attempt has broken.
    pub(crate) fn may_repeat(&self, parts: &[lift_fleet::PromptPart]) -> bool {
        if parts.is_empty() {
            return true;
        }
        self.with_quarantine(|quarantine, now| quarantine.may_repeat(now, parts))
    }

    /// Records that `backend` has ended while it worked on a request with these parts.
    pub(crate) fn record_crash(&self, backend: &str, parts: &[lift_fleet::PromptPart]) {
        self.with_quarantine(|quarantine, now| quarantine.record_crash(now, now, backend, parts));
        self.counters.increment("gateway.part_crashes");
        self.report(lift_fleet::PartObservation::Crash {
            backend: String::from(backend),
            parts: parts.to_vec(),
        });
    }

    /// Records that an answer to a request with these parts was complete.
    pub(crate) fn record_answer(&self, parts: &[lift_fleet::PromptPart]) {
        if parts.is_empty() {
            return;
        }
        let news: Vec<&lift_fleet::PromptPart> = self.with_quarantine(|quarantine, now| {
            let is_news = |part: &&lift_fleet::PromptPart| quarantine.record_answer(now, part);
            parts.iter().filter(is_news).collect()
        });
        for part in news {
            let part = part.clone();
            self.report(lift_fleet::PartObservation::Answered { part });
        }
    }

    /// Records observations of other gateways.
    pub(crate) fn receive(&self, sightings: &[lift_fleet::PartSighting]) {
        self.with_quarantine(|quarantine, now| {
            for sighting in sightings {
                let Some(at) = now.checked_sub(sighting.age) else {
                    continue;
                };
                match &sighting.observation {
                    lift_fleet::PartObservation::Crash { backend, parts } => {
                        quarantine.record_crash(now, at, backend, parts);
                    }
                    lift_fleet::PartObservation::Answered { part } => {
                        quarantine.record_answer(at, part);
                    }
                }
            }
        });
    }

    /// Calls `f` under the lock, and logs the quarantines that have started or ended.
    fn with_quarantine<R>(
        &self,
        f: impl FnOnce(&mut lift_dispatch::PartQuarantine, time::Instant) -> R,
    ) -> R {
        let now = lift_clock::now() + CLOCK_OFFSET;
        let (result, changes) = {
            let mut quarantine = self.quarantine.lock();
            let mut changes = Vec::new();
            if quarantine.is_update_due(now) {
                changes = quarantine.update(now);
            }
            let result = f(&mut quarantine, now);
            if quarantine.is_update_due(now) {
                changes.extend(quarantine.update(now));
            }
            self.is_alert
                .store(!quarantine.is_calm(), atomic::Ordering::Relaxed);
            (result, changes)
        };
        for change in &changes {
            self.log_change(change);
        }
        result
    }

    fn log_change(&self, change: &lift_dispatch::QuarantineChange) {
        match change {
            lift_dispatch::QuarantineChange::Started { parts, ends, lasts } => {
                self.counters.increment("gateway.parts_quarantined");
                slog::warn!(self.log, "prompt part quarantined"; "part" => parts.join(","),
                    "backends_ended" => ends, "lasts_ms" => lasts.as_millis() as u64);
            }
            lift_dispatch::QuarantineChange::Narrowed { parts } => {
                slog::warn!(self.log, "prompt part quarantine narrowed";
                    "part" => parts.join(","));
            }
            lift_dispatch::QuarantineChange::Answered { part } => {
                slog::info!(self.log, "prompt part released"; "part" => part,
                    "reason" => "answered");
            }
            lift_dispatch::QuarantineChange::Expired { parts } => {
                slog::info!(self.log, "prompt part released"; "part" => parts.join(","),
                    "reason" => "expired");
            }
        }
    }

    /// Queues an observation for the other gateways. If too many wait, it is dropped and counted.
    fn report(&self, observation: lift_fleet::PartObservation) {
        let sighting = lift_fleet::PartSighting {
            id: rand::random(),
            age: time::Duration::ZERO,
            observation,
        };
        if !self.sightings.push(sighting) {
            self.counters.increment("gateway.part_sightings_dropped");
        }
    }
}
