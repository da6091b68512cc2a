//! State machine of the replicated log.

use std::{sync, time};

use sync::atomic;
use tokio::sync::watch;

use crate::{current_log, leader_heads};

/// Applies the commands of the replicated log to [`lift_fleet::FleetState`] and notifies
/// watchers of changes.
#[derive(Debug)]
pub struct FleetStateMachine {
    state: parking_lot::Mutex<lift_fleet::FleetState>,
    /// Number of changes of the state so far.
    changes: watch::Sender<u64>,
    /// When the last target versions of each model were named, as far as the leader's answers or
    /// other members tell. Locked after the state only.
    namings: parking_lot::Mutex<indexmap::IndexMap<lift_fleet::ModelName, lift_fleet::NamingTimes>>,
    leader_heads: parking_lot::Mutex<leader_heads::LeaderHeads>,
    /// The log whose commands are applied. It owns the state machine.
    log: sync::Weak<current_log::CurrentLog>,
    /// Whether the commands that are applied may be as old as the log, at the start of each run.
    is_replaying: atomic::AtomicBool,
    unreadable_commands: atomic::AtomicU64,
}

impl FleetStateMachine {
    /// Creates a state machine without a document and target versions, of a member that never
    /// leads.
    pub fn new() -> Self {
        Self::of_log(sync::Weak::new())
    }

    /// Creates a state machine without a document and target versions.
    pub(crate) fn of_log(log: sync::Weak<current_log::CurrentLog>) -> Self {
        Self {
            state: parking_lot::Mutex::default(),
            changes: watch::Sender::new(0),
            namings: parking_lot::Mutex::default(),
            leader_heads: parking_lot::Mutex::default(),
            log,
            is_replaying: atomic::AtomicBool::new(true),
            unreadable_commands: atomic::AtomicU64::new(0),
        }
    }

    /// Returns the document in force.
    pub fn document(&self) -> Option<sync::Arc<lift_fleet::Document>> {
        self.state.lock().document().cloned()
    }

    /// Returns the version of the document in force.
    pub fn document_version(&self) -> lift_fleet::DocumentVersion {
        self.state.lock().document_version()
    }

    /// Returns the version of the document in force, the evacuated failure domains and the target
    /// versions of all models, with the time since they were set where it is known.
    pub fn head(&self) -> lift_feed::FleetHead {
        let now = lift_clock::now();
        let state = self.state.lock();
        let namings = self.namings.lock();
        let weights = state.target_versions().iter().map(|(model, version)| {
            let times = namings.get(model).cloned().unwrap_or_default();
            (model.clone(), named_weights(now, *version, &times))
        });
        lift_feed::FleetHead {
            document: state.document_version(),
            weights: weights.collect(),
            evacuations: state.evacuations().clone(),
        }
    }

    /// Returns the versions and revisions that the leader confirms.
    pub fn confirmation(&self) -> lift_feed::Confirmation {
        let state = self.state.lock();
        lift_feed::Confirmation {
            document: state.document_version(),
            evacuations: state.evacuations().revision(),
        }
    }

    /// Returns the evacuated failure domains.
    pub fn evacuations(&self) -> lift_fleet::Evacuations {
        self.state.lock().evacuations().clone()
    }

    /// Returns a receiver that is notified whenever the state changes.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the number of commands that could not be decoded, for instance because a newer
    /// version of the program wrote them. If it is not 0, the state may differ from that of the
    /// other members, and this member must not confirm reads or accept commands.
    pub fn unreadable_commands(&self) -> u64 {
        self.unreadable_commands.load(atomic::Ordering::Acquire)
    }

    /// Encodes a command for the log. Returns `None` if that fails.
    pub fn encode(command: &lift_fleet::FleetCommand) -> Option<bytes::Bytes> {
        postcard::to_stdvec(command).ok().map(bytes::Bytes::from)
    }

    /// Decodes the reply to a command. Returns `None` if it is malformed or empty, which is the
    /// reply to a command that could not be decoded.
    pub fn decode_reply(buf: &[u8]) -> Option<lift_fleet::FleetReply> {
        postcard::from_bytes(buf).ok()
    }

    /// Records that the leader held the target versions of `head` after it was asked at `asked_at`.
    pub fn record_leader_head(&self, asked_at: time::Instant, head: &lift_feed::FleetHead) {
        self.leader_heads.lock().record(asked_at, head);
    }

    /// Records a time before which another member knows that `version` was not named.
    pub fn learn_naming(
        &self,
        model: &lift_fleet::ModelName,
        version: lift_fleet::WeightsVersion,
        not_before: Option<time::Instant>,
    ) {
        let mut namings = self.namings.lock();
        let times = namings.entry(model.clone()).or_default();
        times.learn(version, not_before);
    }

    /// Applies a command and, if it names a version, records when that was named. Nobody reads the
    /// version in between, which would seem to be named long ago.
    fn apply_command(
        &self,
        index: lift_types::LogIndex,
        command: &lift_fleet::FleetCommand,
    ) -> lift_fleet::FleetReply {
        let lift_fleet::FleetCommand::SetTargetVersion { model, version } = command else {
            return self.state.lock().apply(index, command.clone());
        };
        let not_before = self.not_before(model, *version);
        let mut state = self.state.lock();
        let replaced = state.target_versions().get(model).copied();
        let reply = state.apply(index, command.clone());
        if reply == lift_fleet::FleetReply::Applied {
            if let Some(replaced) = replaced {
                // It may come from a snapshot.
                self.learn_naming(model, replaced, None);
            }
            self.learn_naming(model, *version, not_before);
        }
        reply
    }

    /// The latest known time before which a version that is applied now was not acknowledged to
    /// anybody. A leader acknowledges what it has applied. Any other member may be late, and so may
    /// be the first commands of a restarted log; the time at which they are applied says nothing.
    fn not_before(
        &self,
        model: &lift_fleet::ModelName,
        version: lift_fleet::WeightsVersion,
    ) -> Option<time::Instant> {
        if self.is_replaying.load(atomic::Ordering::Acquire) {
            return None;
        }
        let now = lift_clock::now();
        let log = self.log.upgrade();
        match log.is_some_and(|log| log.leads_since(now)) {
            true => Some(now),
            false => self.leader_heads.lock().not_before(model, version),
        }
    }

    fn notify_watchers(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }
}

/// The newest version and those before it, with the times since they were set.
fn named_weights(
    now: time::Instant,
    newest: lift_fleet::WeightsVersion,
    times: &lift_fleet::NamingTimes,
) -> lift_feed::NamedWeights {
    let age = |named: &lift_fleet::Naming| {
        let at = named.not_before?;
        Some(now.saturating_duration_since(at))
    };
    let earlier = times.iter().filter(|named| named.version < newest);
    let earlier = earlier.map(|named| lift_feed::EarlierVersion {
        version: named.version,
        named_for: age(named),
    });
    lift_feed::NamedWeights {
        version: newest,
        named_for: times.get(newest).and_then(age),
        earlier: earlier.collect(),
    }
}

/// Decodes a snapshot of this or the earlier format, which ends before the evacuations.
fn decode_state(buf: &[u8]) -> Option<lift_fleet::FleetState> {
    if let Ok((state, [])) = postcard::take_from_bytes::<lift_fleet::FleetState>(buf) {
        return Some(state);
    }
    match postcard::take_from_bytes::<lift_fleet::EarlierFleetState>(buf) {
        Ok((state, [])) => Some(state.into()),
        _ => None,
    }
}

impl Default for FleetStateMachine {
    fn default() -> Self {
        Self::new()
    }
}

impl lift_log::StateMachine for FleetStateMachine {
    /// Keeps the state, which stays in force until the log has caught up, and the times that are
    /// known. A snapshot may set the state back, so commands may be applied again: until the replay
    /// ends they get no time.
    fn reset(&self) {
        self.is_replaying.store(true, atomic::Ordering::Release);
    }

    fn apply(&self, index: lift_types::LogIndex, command: &[u8]) -> bytes::Bytes {
        let Ok(command) = postcard::from_bytes::<lift_fleet::FleetCommand>(command) else {
            self.unreadable_commands
                .fetch_add(1, atomic::Ordering::AcqRel);
            return bytes::Bytes::new();
        };
        let reply = self.apply_command(index, &command);
        if reply == lift_fleet::FleetReply::Applied {
            self.notify_watchers();
        }
        let reply = postcard::to_stdvec(&reply);
        reply.map(bytes::Bytes::from).unwrap_or_default()
    }

    fn end_replay(&self) {
        self.is_replaying.store(false, atomic::Ordering::Release);
    }

    fn snapshot(&self) -> bytes::Bytes {
        let state = self.state.lock().clone();
        let encoded = postcard::to_stdvec(&state);
        encoded.map(bytes::Bytes::from).unwrap_or_default()
    }

    fn restore(&self, buf: &[u8]) -> bool {
        let Some(restored) = decode_state(buf) else {
            return false;
        };
        *self.state.lock() = restored;
        self.notify_watchers();
        true
    }
}
