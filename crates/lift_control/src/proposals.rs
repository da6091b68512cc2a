//! Proposals from many callers.

use std::sync;

use tokio::sync::{mpsc, oneshot};

use crate::encoding;

/// Commands that may wait to be proposed. Above it callers are refused.
const QUEUED_COMMANDS: usize = 16_384;

/// Most commands of one entry of the log.
const BATCH_COMMANDS: usize = 512;

/// Bytes after which an entry of the log takes no further command.
const BATCH_BYTES: usize = 256 * 1024;

/// Entries that are proposed at a time. While they are synced, the next batch fills.
const BATCHES_IN_FLIGHT: usize = 4;

type Answer = Result<lift_state::CommandReply, lift_log::ProposeError>;

/// An encoded command and who waits for its reply.
#[derive(Debug)]
struct Proposal {
    command: bytes::Bytes,
    tx: oneshot::Sender<Answer>,
}

/// Gathers the commands of many callers into few entries of the log, since each entry costs
/// a sync to disk at every member.
#[derive(Debug)]
pub(crate) struct Proposals {
    tx: mpsc::Sender<Proposal>,
}

impl Proposals {
    /// Starts the task that proposes. It ends when the value is dropped.
    pub(crate) fn start(log: sync::Arc<dyn lift_log::ReplicatedLog>) -> Self {
        let (tx, rx) = mpsc::channel(QUEUED_COMMANDS);
        tokio::spawn(propose_batches(log, rx));
        Self { tx }
    }

    /// Proposes a command and waits for its reply.
    pub(crate) async fn propose(&self, command: &lift_state::Command) -> Answer {
        let command = encoding::encode_command(command).ok_or(lift_log::ProposeError::Busy)?;
        let (tx, rx) = oneshot::channel();
        self.tx
            .try_send(Proposal { command, tx })
            .map_err(|_| lift_log::ProposeError::Busy)?;
        rx.await.unwrap_or(Err(lift_log::ProposeError::Unknown))
    }
}

async fn propose_batches(
    log: sync::Arc<dyn lift_log::ReplicatedLog>,
    mut rx: mpsc::Receiver<Proposal>,
) {
    let in_flight = sync::Arc::new(tokio::sync::Semaphore::new(BATCHES_IN_FLIGHT));
    while let Some(first) = rx.recv().await {
        let Ok(permit) = sync::Arc::clone(&in_flight).acquire_owned().await else {
            return;
        };
        let batch = fill(first, &mut rx);
        let log = sync::Arc::clone(&log);
        let mut proposing = Box::pin(async move {
            propose_batch(log.as_ref(), batch).await;
            drop(permit);
        });
        // The first step is taken here, so that batches reach the log in their order.
        if futures_util::poll!(proposing.as_mut()).is_pending() {
            tokio::spawn(proposing);
        }
    }
}

fn fill(first: Proposal, rx: &mut mpsc::Receiver<Proposal>) -> Vec<Proposal> {
    let mut bytes = first.command.len();
    let mut batch = vec![first];
    while batch.len() < BATCH_COMMANDS
        && bytes < BATCH_BYTES
        && let Ok(next) = rx.try_recv()
    {
        bytes += next.command.len();
        batch.push(next);
    }
    batch
}

async fn propose_batch(log: &dyn lift_log::ReplicatedLog, batch: Vec<Proposal>) {
    let entry = encoding::join_batch(batch.iter().map(|p| p.command.as_ref()));
    let replies = match log.propose(entry).await {
        Ok(buf) => encoding::decode_replies(&buf).ok_or(lift_log::ProposeError::Unknown),
        Err(error) => Err(error.current_context().clone()),
    };
    // A caller may have stopped waiting, so that its channel is closed.
    match replies {
        Ok(replies) => {
            for (proposal, reply) in batch.into_iter().zip(replies) {
                let _ = proposal.tx.send(Ok(reply));
            }
        }
        Err(error) => {
            for proposal in batch {
                let _ = proposal.tx.send(Err(error.clone()));
            }
        }
    }
}
