//! Operators of the configuration experiment.

use std::{sync, time};

use lift_rpc::ControlPort as _;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

/// Time for which an operator repeats a change that was not answered.
const REPEAT_FOR: time::Duration = time::Duration::from_secs(20);

/// Changes that are on their way at a time when they are sent without waiting.
pub(crate) const WINDOW: usize = 512;

/// Exceptions that the edits add and remove.
const EXCEPTIONS: u32 = 20;

/// A change and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) id: lift_types::ChangeId,
    pub(crate) expected: lift_types::Revision,
    pub(crate) sent: time::Instant,
    pub(crate) answered: time::Instant,
    pub(crate) reply: Option<lift_state::ChangeReply>,
}

impl Sent {
    /// Revision of an accepted change.
    pub(crate) fn revision(&self) -> Option<lift_types::Revision> {
        match self.reply {
            Some(lift_state::ChangeReply::Accepted { revision }) => Some(revision),
            _ => None,
        }
    }
}

/// Makes edits from a seed, and sends changes until they are answered.
#[derive(Debug)]
pub(crate) struct ConfigOperator {
    client: sync::Arc<lift_rpc::ControlClient>,
    author: String,
    rng: rngs::StdRng,
    made: u64,
}

impl ConfigOperator {
    pub(crate) fn new(client: sync::Arc<lift_rpc::ControlClient>, author: &str, seed: u64) -> Self {
        Self {
            client,
            author: String::from(author),
            rng: rngs::StdRng::seed_from_u64(seed),
            made: 0,
        }
    }

    /// Makes the next change. Half of them set the default version, the others add or
    /// replace an exception.
    pub(crate) fn make(&mut self, expected: lift_types::Revision) -> lift_state::ConfigChange {
        self.made += 1;
        let version = format!("v{}", self.rng.random_range(1..=2));
        let edit = if self.rng.random_bool(0.5) {
            lift_state::ChangeEdit::SetDefaultVersion(version)
        } else {
            let number = self.rng.random_range(0..EXCEPTIONS);
            lift_state::ChangeEdit::AddException {
                id: format!("exception-{number}"),
                scope: lift_types::Scope::Host(number),
                value: lift_types::ExceptionValue::Version(version),
                reason: String::from("freeze warning"),
            }
        };
        lift_state::ConfigChange {
            id: format!("{}-{}", self.author, self.made),
            expected,
            author: self.author.clone(),
            reason: String::from("configuration experiment"),
            edits: vec![edit],
        }
    }

    /// Client through which the operator sends.
    pub(crate) fn client(&self) -> sync::Arc<lift_rpc::ControlClient> {
        sync::Arc::clone(&self.client)
    }
}

/// Sends a change, and repeats it under the same id until it is answered.
pub(crate) async fn send(
    client: &lift_rpc::ControlClient,
    change: lift_state::ConfigChange,
) -> Sent {
    let sent = time::Instant::now();
    let mut reply = None;
    while reply.is_none() && sent.elapsed() < REPEAT_FOR {
        reply = client.change(change.clone()).await.ok();
    }
    Sent {
        id: change.id,
        expected: change.expected,
        sent,
        answered: time::Instant::now(),
        reply,
    }
}
