//! The state machine behind the replicated log.

use std::{fmt, sync, time};

use sync::atomic;
use tokio::sync::watch;

use crate::encoding;

/// Applies the commands of the replicated log to [`lift_state::State`], and tells watchers
/// of a new policy. Give it to the log and to [`crate::ControlNode`].
pub struct ControlMachine {
    state: lift_state::State,
    view: watch::Sender<lift_types::PolicyView>,
    unreadable: atomic::AtomicU64,
}

impl ControlMachine {
    /// Starts with an empty state.
    pub fn new() -> Self {
        Self {
            state: lift_state::State::new(),
            view: watch::Sender::new(lift_types::PolicyView::default()),
            unreadable: atomic::AtomicU64::new(0),
        }
    }

    /// The state, as of the last command that was applied here.
    pub fn state(&self) -> &lift_state::State {
        &self.state
    }

    /// Number of commands that this version could not read. Its state is then not that of
    /// the other members, and it must not serve.
    pub fn unreadable(&self) -> u64 {
        self.unreadable.load(atomic::Ordering::Acquire)
    }

    pub(crate) fn watch(&self) -> watch::Receiver<lift_types::PolicyView> {
        self.view.subscribe()
    }

    /// Notes that the policy here was current at `at`.
    pub(crate) fn confirm(&self, at: time::Instant) {
        self.view.send_modify(|view| view.confirmed_at = Some(at));
    }

    fn notify(&self) {
        let policy = self.state.policy();
        self.view.send_if_modified(|view| {
            if view.policy.revision == policy.revision {
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
    fn apply(&self, _index: lift_types::LogIndex, command: &[u8]) -> bytes::Bytes {
        let Some(commands) = encoding::decode_batch(command) else {
            self.unreadable.fetch_add(1, atomic::Ordering::AcqRel);
            return bytes::Bytes::new();
        };
        let replies: Vec<_> = commands.iter().map(|c| self.state.apply(c)).collect();
        let changes_policy = |c| matches!(c, &lift_state::Command::Change { .. });
        if commands.iter().any(changes_policy) {
            self.notify();
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
        self.notify();
        true
    }
}
