//! The state machine that the replicated log drives.

use std::{fmt, sync, time};

use sync::atomic;
use tokio::sync::watch;

use crate::encoding;

/// Applies the commands of the replicated log to [`lift_state::State`], and notifies watchers
/// of a new policy. The log and the [`crate::ControlNode`] of a member share one instance.
pub struct ControlMachine {
    state: lift_state::State,
    policy_view: watch::Sender<lift_types::PolicyView>,
    unreadable_entries: atomic::AtomicU64,
}

impl ControlMachine {
    /// Creates a state machine with an empty state.
    pub fn new() -> Self {
        Self {
            state: lift_state::State::new(),
            policy_view: watch::Sender::new(lift_types::PolicyView::default()),
            unreadable_entries: atomic::AtomicU64::new(0),
        }
    }

    /// Returns the state after the last command that this member applied.
    pub fn state(&self) -> &lift_state::State {
        &self.state
    }

    /// Returns the number of log entries that could not be decoded. If it is not zero, the state
    /// may differ from that of the other members, and [`crate::ControlNode`] rejects the
    /// operations that need a valid leader lease.
    pub fn unreadable_entries(&self) -> u64 {
        self.unreadable_entries.load(atomic::Ordering::Acquire)
    }

    pub(crate) fn watch(&self) -> watch::Receiver<lift_types::PolicyView> {
        self.policy_view.subscribe()
    }

    /// Records that the policy of this member was current at `at`.
    pub(crate) fn confirm(&self, at: time::Instant) {
        self.policy_view
            .send_modify(|view| view.confirmed_at = Some(at));
    }

    fn notify_watchers(&self) {
        let policy = self.state.policy();
        self.policy_view.send_if_modified(|view| {
            // While the log is applied again after a restart, the newest policy stays in force.
            if view.policy.revision >= policy.revision {
                return false;
            }
            view.policy = policy;
            true
        });
    }
}

impl Default for ControlMachine {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for ControlMachine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlMachine")
            .field("revision", &self.state.policy().revision)
            .finish_non_exhaustive()
    }
}

impl lift_log::StateMachine for ControlMachine {
    fn reset(&self) {
        self.state.clear();
        self.unreadable_entries.store(0, atomic::Ordering::Release);
    }

    fn apply(&self, _index: lift_types::LogIndex, command: &[u8]) -> bytes::Bytes {
        let Some(commands) = encoding::decode_batch(command) else {
            self.unreadable_entries
                .fetch_add(1, atomic::Ordering::AcqRel);
            return bytes::Bytes::new();
        };
        let replies: Vec<_> = commands.iter().map(|c| self.state.apply(c)).collect();
        let changes_policy = |c| matches!(c, &lift_state::Command::Change { .. });
        if commands.iter().any(changes_policy) {
            self.notify_watchers();
        }
        encoding::encode_replies(&replies)
    }

    fn snapshot(&self) -> bytes::Bytes {
        encoding::encode_state(&self.state)
    }

    fn restore(&self, buf: &[u8]) -> bool {
        let Some(parts) = encoding::decode_state(buf) else {
            return false;
        };
        if !self.state.import(parts) {
            return false;
        }
        self.notify_watchers();
        true
    }
}
