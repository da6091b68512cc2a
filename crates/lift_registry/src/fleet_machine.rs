//! The state machine behind the replicated log.

use std::sync;

use sync::atomic;
use tokio::sync::watch;

/// Applies the commands of the replicated log to [`lift_fleet::FleetState`] and tells
/// watchers of newer versions.
#[derive(Debug)]
pub struct FleetMachine {
    state: parking_lot::Mutex<lift_fleet::FleetState>,
    head: watch::Sender<lift_feed::FleetHead>,
    unreadable: atomic::AtomicU64,
}

impl FleetMachine {
    /// Starts with an empty state.
    pub fn new() -> Self {
        Self {
            state: parking_lot::Mutex::default(),
            head: watch::Sender::new(lift_feed::FleetHead::default()),
            unreadable: atomic::AtomicU64::new(0),
        }
    }

    /// The document in force.
    pub fn document(&self) -> Option<sync::Arc<lift_fleet::Document>> {
        self.state.lock().document().cloned()
    }

    /// Versions in force.
    pub fn head(&self) -> lift_feed::FleetHead {
        self.head.borrow().clone()
    }

    /// Follows the versions in force.
    pub fn watch(&self) -> watch::Receiver<lift_feed::FleetHead> {
        self.head.subscribe()
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

    fn publish(&self, state: &lift_fleet::FleetState) {
        let head = lift_feed::FleetHead {
            document: state.document_version(),
            weights: state.weights().clone(),
        };
        self.head.send_if_modified(|current| {
            let is_new = *current != head;
            *current = head;
            is_new
        });
    }
}

impl Default for FleetMachine {
    fn default() -> Self {
        Self::new()
    }
}

impl lift_log::StateMachine for FleetMachine {
    fn apply(&self, _index: lift_types::LogIndex, command: &[u8]) -> bytes::Bytes {
        let Ok(command) = postcard::from_bytes(command) else {
            self.unreadable.fetch_add(1, atomic::Ordering::AcqRel);
            return bytes::Bytes::new();
        };
        let mut state = self.state.lock();
        let reply = state.apply(command);
        self.publish(&state);
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
        let mut state = self.state.lock();
        *state = restored;
        self.publish(&state);
        true
    }
}
