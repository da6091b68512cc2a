//! The state machine behind the replicated log.

use std::{sync, time};

use sync::atomic;
use tokio::sync::watch;

/// Time after the start of the process in which commands are taken to come from the disk.
const REPLAY_TIME: time::Duration = time::Duration::from_secs(3);

/// A version and when it was named.
type Named = (lift_fleet::WeightsVersion, time::Instant);

/// Applies the commands of the replicated log to [`lift_fleet::FleetState`] and tells
/// watchers of newer versions.
#[derive(Debug)]
pub struct FleetMachine {
    state: parking_lot::Mutex<lift_fleet::FleetState>,
    /// Number of changes so far.
    changes: watch::Sender<u64>,
    /// When each newest version of weights was named, for those that were named while this
    /// member followed the log.
    named: parking_lot::Mutex<indexmap::IndexMap<lift_fleet::ModelName, Named>>,
    started: time::Instant,
    unreadable: atomic::AtomicU64,
}

impl FleetMachine {
    /// Starts with an empty state.
    pub fn new() -> Self {
        Self {
            state: parking_lot::Mutex::default(),
            changes: watch::Sender::new(0),
            named: parking_lot::Mutex::default(),
            started: lift_clock::now(),
            unreadable: atomic::AtomicU64::new(0),
        }
    }

    /// The document in force.
    pub fn document(&self) -> Option<sync::Arc<lift_fleet::Document>> {
        self.state.lock().document().cloned()
    }

    /// Version of the document in force.
    pub fn document_version(&self) -> lift_fleet::DocumentVersion {
        self.state.lock().document_version()
    }

    /// Versions in force.
    pub fn head(&self) -> lift_feed::FleetHead {
        let now = lift_clock::now();
        let state = self.state.lock();
        let named = self.named.lock();
        let weights = state.target_versions().iter().map(|(model, version)| {
            let at = named.get(model).filter(|(named, _)| named == version);
            let named = lift_feed::NamedWeights {
                version: *version,
                named_for: at.map(|(_, at)| now.saturating_duration_since(*at)),
            };
            (model.clone(), named)
        });
        lift_feed::FleetHead {
            document: state.document_version(),
            weights: weights.collect(),
        }
    }

    /// Follows the changes of the versions in force.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Number of commands that this version of the program could not read. Its state is then
    /// not that of the other members, and it must not serve.
    pub fn unreadable(&self) -> u64 {
        self.unreadable.load(atomic::Ordering::Acquire)
    }

    /// Encodes a command for the log. `None` where that fails.
    pub fn encode(command: &lift_fleet::FleetCommand) -> Option<bytes::Bytes> {
        postcard::to_stdvec(command).ok().map(bytes::Bytes::from)
    }

    /// Decodes the reply to a command.
    pub fn decode_reply(buf: &[u8]) -> Option<lift_fleet::FleetReply> {
        postcard::from_bytes(buf).ok()
    }

    /// Notes when weights were named. Commands that are applied soon after the start may come
    /// from the disk and be old.
    fn note_named(&self, command: &lift_fleet::FleetCommand) {
        let now = lift_clock::now();
        let is_replay = now.saturating_duration_since(self.started) < REPLAY_TIME;
        if let lift_fleet::FleetCommand::SetTargetVersion { model, version } = command
            && !is_replay
        {
            self.named.lock().insert(model.clone(), (*version, now));
        }
    }

    fn publish(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }
}

impl Default for FleetMachine {
    fn default() -> Self {
        Self::new()
    }
}

impl lift_log::StateMachine for FleetMachine {
    fn apply(&self, _index: lift_types::LogIndex, command: &[u8]) -> bytes::Bytes {
        let Ok(command) = postcard::from_bytes::<lift_fleet::FleetCommand>(command) else {
            self.unreadable.fetch_add(1, atomic::Ordering::AcqRel);
            return bytes::Bytes::new();
        };
        let reply = self.state.lock().apply(command.clone());
        if reply == lift_fleet::FleetReply::Applied {
            self.note_named(&command);
            self.publish();
        }
        let reply = postcard::to_stdvec(&reply);
        reply.map(bytes::Bytes::from).unwrap_or_default()
    }

    fn snapshot(&self) -> bytes::Bytes {
        let state = self.state.lock().clone();
        let encoded = postcard::to_stdvec(&state);
        encoded.map(bytes::Bytes::from).unwrap_or_default()
    }

    fn restore(&self, buf: &[u8]) -> bool {
        let Ok(restored) = postcard::from_bytes(buf) else {
            return false;
        };
        *self.state.lock() = restored;
        self.publish();
        true
    }
}
