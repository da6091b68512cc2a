//! Requests that were at backend servers when those ended.

use std::{collections, time};

use crate::{part_crash, part_evidence, server_ends};

/// Largest number of requests that are kept.
const MAX_CRASHES: usize = 256;

/// Time in which all gateways have seen the end of a backend server. An identifier that comes back
/// later stands for another end.
const END_SEEN_TIME: time::Duration = time::Duration::from_secs(2);

/// Evidence against parts of prompts, without the ends that a quarantined part explains.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashLog {
    crashes: collections::VecDeque<part_crash::PartCrash>,
    /// Ends that no quarantined part explains, whichever parts were cleared.
    unexplained: server_ends::ServerEnds,
    /// Ends that a quarantined part explains.
    explained: server_ends::ServerEnds,
}

impl CrashLog {
    /// Whether there is no evidence against any part.
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Whether the evidence that came first counts no longer, by `is_old`.
    pub(crate) fn is_expired(&self, is_old: impl Fn(time::Instant) -> bool) -> bool {
        self.crashes.front().is_some_and(|crash| is_old(crash.at))
    }

    /// Whether there is evidence against `suspect`.
    pub(crate) fn suspects(&self, suspect: &str) -> bool {
        let is_suspected = |crash: &part_crash::PartCrash| crash.suspects.contains(suspect);
        self.crashes.iter().any(is_suspected)
    }

    /// Adds a request that was at a backend server when it ended. Returns whether it is new
    /// evidence against a part.
    pub(crate) fn add(&mut self, crash: part_crash::PartCrash) -> bool {
        if self.is_explained(&crash.backend, crash.at) {
            return false;
        }
        self.unexplained.add(&crash.backend, crash.at);
        let is_copy = |known: &part_crash::PartCrash| {
            known.backend == crash.backend && known.suspects.iter().eq(crash.suspects.iter())
        };
        if crash.suspects.is_empty() || self.crashes.iter().any(is_copy) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(crash);
        true
    }

    /// Clears `part` of the ends until `at`. Returns whether there were any.
    pub(crate) fn clear(&mut self, at: time::Instant, part: &str) -> bool {
        let mut is_news = false;
        for crash in self.crashes.iter_mut().filter(|crash| crash.at <= at) {
            is_news |= crash.suspects.shift_remove(part);
        }
        if is_news {
            self.crashes.retain(|crash| !crash.suspects.is_empty());
        }
        is_news
    }

    /// Removes the ends that all of `parts` explain.
    pub(crate) fn explain_by(&mut self, parts: &[lift_fleet::PromptPart]) {
        let is_caused =
            |crash: &&part_crash::PartCrash| parts.iter().all(|part| crash.suspects.contains(part));
        let caused = self.crashes.iter().filter(is_caused);
        let caused: Vec<_> = caused.map(|c| (c.backend.clone(), c.at)).collect();
        for (backend, at) in caused {
            self.explain(&backend, at);
        }
    }

    /// Removes the end of `backend`, since a quarantined part explains it.
    pub(crate) fn explain(&mut self, backend: &str, at: time::Instant) {
        self.explained.remove(backend);
        self.explained.add(backend, at);
        self.unexplained.remove(backend);
        self.crashes
            .retain(|crash| crash.backend != backend || !is_same_end(crash.at, at));
    }

    /// Keeps the ends at the times for which `keep` returns true.
    pub(crate) fn retain(&mut self, keep: impl Fn(time::Instant) -> bool) {
        self.crashes.retain(|crash| keep(crash.at));
        self.unexplained.retain(&keep);
        self.explained.retain(&keep);
    }

    /// Number of ends since `start` that came one after the other.
    pub(crate) fn count_separate_since(&self, start: Option<time::Instant>) -> usize {
        self.unexplained.count_separate_since(start)
    }

    /// Evidence against each suspected part.
    pub(crate) fn evidence(&self) -> indexmap::IndexMap<&str, part_evidence::PartEvidence> {
        let mut parts = indexmap::IndexMap::<&str, part_evidence::PartEvidence>::new();
        for crash in &self.crashes {
            for part in &crash.suspects {
                let evidence = parts.entry(part.as_str()).or_default();
                evidence.add(&crash.backend, crash.at);
            }
        }
        parts
    }

    /// The suspected parts that stood beside `part` in a request at each backend server that ended
    /// on it, itself included. No request tells them apart.
    pub(crate) fn companions(&self, part: &str) -> indexmap::IndexSet<&str> {
        let mut beside = indexmap::IndexMap::<&str, indexmap::IndexSet<&str>>::new();
        let with_part = self.crashes.iter().filter(|c| c.suspects.contains(part));
        for crash in with_part {
            let parts = beside.entry(crash.backend.as_str()).or_default();
            parts.extend(crash.suspects.iter().map(String::as_str));
        }
        let common = beside.into_values().reduce(|a, b| &a & &b);
        common.unwrap_or_default()
    }

    /// Whether a quarantined part explains the end of `backend` at `at`.
    pub(crate) fn is_explained(&self, backend: &str, at: time::Instant) -> bool {
        let explained = self.explained.get(backend);
        explained.is_some_and(|explained| is_same_end(explained, at))
    }
}

fn is_same_end(a: time::Instant, b: time::Instant) -> bool {
    a.max(b).saturating_duration_since(a.min(b)) < END_SEEN_TIME
}
