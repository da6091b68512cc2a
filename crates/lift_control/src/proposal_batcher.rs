//! Batches the commands of many callers into log entries.

use std::sync;

use tokio::sync::{mpsc, oneshot};

use crate::encoding;

/// Maximum number of commands that wait to be proposed. Further commands fail with
/// [`lift_log::ProposeError::Busy`].
const MAX_QUEUED_COMMANDS: usize = 16_384;

/// Maximum number of commands in a log entry.
const MAX_BATCH_COMMANDS: usize = 512;

/// Total size of the commands in a log entry, in bytes, at which no further command is added.
const BATCH_THRESHOLD_BYTES: usize = 256 * 1024;

/// Maximum number of log entries that are proposed at the same time. While they are synced to
/// disk, further commands collect for the next batch.
const MAX_BATCHES_IN_FLIGHT: usize = 4;

type ProposeResult = Result<lift_state::CommandReply, lift_log::ProposeError>;

/// An encoded command and the channel for its reply.
#[derive(Debug)]
struct Proposal {
    command: bytes::Bytes,
    tx: oneshot::Sender<ProposeResult>,
}

/// Batches the commands of many callers into few log entries, because each entry costs a sync to
/// disk at every member.
#[derive(Debug)]
pub(crate) struct ProposalBatcher {
    tx: mpsc::Sender<Proposal>,
}

impl ProposalBatcher {
    /// Starts the task that proposes batches. It stops when the batcher is dropped.
    pub(crate) fn start(log: sync::Arc<dyn lift_log::ReplicatedLog>) -> Self {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_COMMANDS);
        tokio::spawn(propose_batches(log, rx));
        Self { tx }
    }

    /// Queues a command for the next batch and waits for its reply.
    pub(crate) async fn propose(&self, command: &lift_state::Command) -> ProposeResult {
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
    let in_flight = sync::Arc::new(tokio::sync::Semaphore::new(MAX_BATCHES_IN_FLIGHT));
    while let Some(first) = rx.recv().await {
        let Ok(permit) = sync::Arc::clone(&in_flight).acquire_owned().await else {
            return;
        };
        let batch = fill_batch(first, &mut rx);
        let log = sync::Arc::clone(&log);
        let mut proposing = Box::pin(async move {
            propose_batch(log.as_ref(), batch).await;
            drop(permit);
        });
        // The future is polled once here, so that batches are proposed in their order.
        if futures_util::poll!(proposing.as_mut()).is_pending() {
            tokio::spawn(proposing);
        }
    }
}

fn fill_batch(first: Proposal, rx: &mut mpsc::Receiver<Proposal>) -> Vec<Proposal> {
    let mut bytes = first.command.len();
    let mut batch = vec![first];
    while batch.len() < MAX_BATCH_COMMANDS
        && bytes < BATCH_THRESHOLD_BYTES
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
    // Sending fails if the caller no longer waits for the reply, which is ignored.
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
