//! Proposals that wait to be committed.

use crate::{proposal, propose_error};

/// Number of shards. The proposing threads and the applying thread seldom meet in one.
const SHARDS: usize = 16;

/// Reply channels by position in the log, split into shards.
#[derive(Debug)]
pub(crate) struct Waiters {
    shards: lift_shard::Shards<indexmap::IndexMap<lift_types::LogIndex, Waiter>>,
}

#[derive(Debug)]
struct Waiter {
    term: lift_types::Term,
    reply: proposal::Reply,
}

impl Waiters {
    pub(crate) fn new() -> Self {
        Self {
            shards: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
        }
    }

    pub(crate) fn insert(
        &self,
        index: lift_types::LogIndex,
        term: lift_types::Term,
        reply: proposal::Reply,
    ) {
        self.shards.with_position(index as usize, |waiters| {
            waiters.insert(index, Waiter { term, reply });
        });
    }

    /// Answers the proposal at `index`, where one waits. An entry of another term has taken
    /// its place when the terms differ.
    pub(crate) fn answer(
        &self,
        index: lift_types::LogIndex,
        term: lift_types::Term,
        answer: bytes::Bytes,
    ) {
        let found = self
            .shards
            .with_position(index as usize, |waiters| waiters.swap_remove(&index));
        let Some(waiter) = found else { return };
        let result = match waiter.term == term {
            true => Ok(answer),
            false => Err(propose_error::ProposeError::Unknown),
        };
        // The proposer may have stopped waiting.
        let _ = waiter.reply.send(result);
    }

    /// Tells all proposers that it is not known whether their command is committed.
    pub(crate) fn give_up(&self) {
        self.shards.for_each(|waiters| {
            for (_, waiter) in waiters.drain(..) {
                let _ = waiter.reply.send(Err(propose_error::ProposeError::Unknown));
            }
        });
    }
}
