//! Parts of the journey of a change.

use std::{collections, time};

use lift_state::{ChangeReply, Command, CommandReply};

/// An operator's program that sends one change until it has an answer.
pub struct Client {
    pub command: Command,
    /// Member that it waits for.
    pub waits_at: Option<usize>,
    pub asked_at: u64,
    pub answer: Option<ChangeReply>,
}

impl Client {
    pub fn new(id: String, expected: u64, ms: u64) -> Self {
        let hash = lift_types::ChunkHash::of(id.as_bytes());
        let edit = lift_state::ChangeEdit::AddException {
            scope: lift_types::Scope::Region(format!("r{}", expected % 5)),
            value: lift_types::ExceptionValue::ActivationFloorPercent(1 + expected as u8 % 90),
            reason: String::from("freeze warning"),
            id: format!("exception {}", expected % 5),
        };
        let change = lift_state::ConfigChange {
            id,
            expected,
            author: String::from("operator"),
            reason: String::from("test"),
            edits: vec![edit],
        };
        let at = time::SystemTime::UNIX_EPOCH + time::Duration::from_millis(ms);
        let command = Command::Change { change, hash, at };
        Self {
            command,
            waits_at: None,
            asked_at: 0,
            answer: None,
        }
    }

    pub fn id(&self) -> &str {
        change_of(&self.command).map_or("", |change| &change.id)
    }

    pub fn expected(&self) -> u64 {
        change_of(&self.command).map_or(0, |change| change.expected)
    }
}

/// The state machine of one member.
pub struct Machine {
    state: lift_state::State,
    applied: u64,
}

impl Machine {
    pub fn new() -> Self {
        Self {
            state: lift_state::State::new(),
            applied: 0,
        }
    }

    /// Applies what is new in the log up to `applied`, from the start after a restart.
    pub fn follow(
        &mut self,
        log: &collections::BTreeMap<u64, bytes::Bytes>,
        applied: u64,
    ) -> Vec<(String, CommandReply)> {
        if applied < self.applied {
            *self = Self::new();
        }
        let mut replies = Vec::new();
        for (_, command) in log.range(self.applied + 1..applied + 1) {
            let command: Command = postcard::from_bytes(command).unwrap();
            let reply = self.state.apply(&command);
            let id = change_of(&command).map_or_else(String::new, |change| change.id.clone());
            replies.push((id, reply));
        }
        self.applied = applied;
        replies
    }

    pub fn revision(&self) -> u64 {
        self.state.policy().revision
    }

    /// Number of changes in the audit log.
    pub fn audited(&self) -> u64 {
        self.state.audit(0, usize::MAX).len() as u64
    }
}

/// A node that follows the configuration.
#[derive(Default)]
pub struct Node {
    pub revision: u64,
    pub confirmed_at: u64,
}

fn change_of(command: &Command) -> Option<&lift_state::ConfigChange> {
    match command {
        Command::Change { change, .. } => Some(change),
        _ => None,
    }
}
