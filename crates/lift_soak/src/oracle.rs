//! What callers and backend servers have seen, and which promises that breaks.

use std::{sync::atomic, time};

use crate::{cast, process_settings, request_kind};

/// Shards of the book of requests.
const SHARDS: usize = 16;

/// Most violations that are kept. The first ones tell the most.
const MAX_VIOLATIONS: usize = 20;

/// Time after an acknowledgement from which an older configuration must not be read.
const IN_FORCE: time::Duration = time::Duration::from_secs(2);

/// What is known of one request.
#[derive(Clone, Debug, Default)]
struct Note {
    runs: u32,
    refused: Option<u16>,
    key: String,
    sent_at: Option<time::Instant>,
}

/// Book of all requests and acknowledgements.
#[derive(Debug)]
pub(crate) struct Oracle {
    requests: lift_shard::Shards<indexmap::IndexMap<String, Note>>,
    /// Keys that were taken away, and when that was acknowledged.
    revoked: parking_lot::Mutex<indexmap::IndexMap<String, time::Instant>>,
    /// Newest acknowledged configuration and since when.
    documents: parking_lot::Mutex<Vec<(u64, time::Instant)>>,
    /// Since when [`cast::EVACUATED_DOMAIN`] is evacuated by an acknowledgement. `None` from the
    /// order to restore it on.
    evacuated_at: parking_lot::Mutex<Option<time::Instant>>,
    violations: parking_lot::Mutex<Vec<String>>,
    pub(crate) served: atomic::AtomicU64,
    pub(crate) refused: atomic::AtomicU64,
    pub(crate) failed: atomic::AtomicU64,
}

impl Oracle {
    pub(crate) fn new() -> Self {
        Self {
            requests: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
            revoked: parking_lot::Mutex::default(),
            documents: parking_lot::Mutex::default(),
            evacuated_at: parking_lot::Mutex::default(),
            violations: parking_lot::Mutex::default(),
            served: atomic::AtomicU64::new(0),
            refused: atomic::AtomicU64::new(0),
            failed: atomic::AtomicU64::new(0),
        }
    }

    /// Notes that a promise was broken.
    pub(crate) fn violate(&self, what: String) {
        let mut violations = self.violations.lock();
        if violations.len() < MAX_VIOLATIONS {
            violations.push(what);
        }
    }

    /// A caller sends the request `id` with a key.
    pub(crate) fn sent(&self, id: &str, key: &str) {
        let note = Note {
            key: String::from(key),
            sent_at: Some(time::Instant::now()),
            ..Note::default()
        };
        self.requests
            .with(id, |requests| requests.insert(String::from(id), note));
    }

    /// A backend server runs the request `id` as one of `kind`.
    pub(crate) fn run(&self, id: &str, kind: request_kind::RequestKind) {
        let noted = self.requests.with(id, |requests| {
            let note = requests.get_mut(id)?;
            note.runs += 1;
            Some(note.clone())
        });
        let Some(note) = noted else {
            return self.violate(format!("{id} runs and nobody sent it"));
        };
        let is_once = kind == request_kind::RequestKind::Write;
        if is_once && note.runs > 1 {
            self.violate(format!("{id} runs {} times", note.runs));
        }
        if let (true, Some(status)) = (is_once, note.refused) {
            self.violate(format!(
                "{id} runs after status {status} said that it never will"
            ));
        }
        let revoked_at = self.revoked.lock().get(&note.key).copied();
        let bound = time::Duration::from_millis(process_settings::REVOKE_MS);
        if let (Some(revoked_at), Some(sent_at)) = (revoked_at, note.sent_at)
            && sent_at > revoked_at + bound
        {
            self.violate(format!("{id} runs with a key that was taken away"));
        }
    }

    /// A caller was told that the request `id` has not run.
    pub(crate) fn refuse(&self, id: &str, kind: request_kind::RequestKind, status: u16) {
        self.refused.fetch_add(1, atomic::Ordering::Relaxed);
        let runs = self.requests.with(id, |requests| {
            let note = requests.get_mut(id)?;
            note.refused = Some(status);
            Some(note.runs)
        });
        if kind == request_kind::RequestKind::Write && runs.is_some_and(|runs| runs > 0) {
            self.violate(format!("{id} has run and got status {status}"));
        }
    }

    /// How often backend servers have run the request `id`.
    pub(crate) fn runs(&self, id: &str) -> u32 {
        self.requests
            .with(id, |requests| requests.get(id).map_or(0, |note| note.runs))
    }

    /// An evacuation of [`cast::EVACUATED_DOMAIN`] was acknowledged.
    pub(crate) fn evacuate(&self) {
        *self.evacuated_at.lock() = Some(time::Instant::now());
    }

    /// [`cast::EVACUATED_DOMAIN`] is to be restored.
    pub(crate) fn restore(&self) {
        *self.evacuated_at.lock() = None;
    }

    /// Time since the evacuation was acknowledged. `None` if there is none.
    pub(crate) fn evacuated_for(&self) -> Option<time::Duration> {
        self.evacuated_at.lock().map(|at| at.elapsed())
    }

    /// The request `id` has reached a backend server in `failure_domain`.
    pub(crate) fn arrive(&self, id: &str, failure_domain: &str) {
        let due = time::Duration::from_millis(process_settings::EVACUATE_MS);
        let evacuated_for = self.evacuated_for().filter(|age| *age > due);
        if let Some(age) = evacuated_for.filter(|_| failure_domain == cast::EVACUATED_DOMAIN) {
            let age = age.as_millis();
            self.violate(format!(
                "{id} has reached a server {age} ms after its evacuation"
            ));
        }
    }

    /// A configuration was acknowledged that no longer has `revoked`.
    pub(crate) fn acknowledge(&self, version: u64, revoked: Option<&str>) {
        let now = time::Instant::now();
        self.documents.lock().push((version, now));
        if let Some(key) = revoked {
            self.revoked.lock().insert(String::from(key), now);
        }
    }

    /// Newest acknowledged configuration.
    pub(crate) fn newest(&self) -> u64 {
        self.documents
            .lock()
            .last()
            .map_or(0, |(version, _)| *version)
    }

    /// A read of the configuration that was sent at `asked_at` got `version`.
    pub(crate) fn read(&self, asked_at: time::Instant, version: u64) {
        let documents = self.documents.lock();
        let due = documents.iter().rfind(|(_, at)| *at + IN_FORCE < asked_at);
        if let Some((due, _)) = due.filter(|(due, _)| *due > version) {
            self.violate(format!(
                "configuration {version} read, {due} was acknowledged"
            ));
        }
    }

    /// What was broken.
    pub(crate) fn violations(&self) -> Vec<String> {
        self.violations.lock().clone()
    }
}
