//! Lease renewals of many agents.

use std::{sync, time};

use tokio::sync::{mpsc, oneshot};
use tokio::time as timer;

use crate::{control_error, control_port};

/// Time for which renewals are gathered. It is a small part of a lease, and an agent counts
/// its lease from when it asked.
const WINDOW: time::Duration = time::Duration::from_millis(20);

/// Most renewals of one message.
const BATCH_RENEWALS: usize = 512;

/// Renewals that may wait. Above it agents are refused.
const QUEUED_RENEWALS: usize = 8_192;

type Answer = Result<Option<lift_state::LeaseReply>, control_error::ControlError>;

/// A renewal and who waits for its answer.
#[derive(Debug)]
struct Renewal {
    renewal: lift_state::LeaseRenewal,
    tx: oneshot::Sender<Answer>,
}

/// Gathers the renewals of a relay's agents into few messages to control.
#[derive(Debug)]
pub(crate) struct RenewalBatches {
    tx: mpsc::Sender<Renewal>,
}

impl RenewalBatches {
    /// Starts the task that sends them. It ends when the value is dropped.
    pub(crate) fn start(upstream: sync::Arc<dyn control_port::ControlPort>) -> Self {
        let (tx, rx) = mpsc::channel(QUEUED_RENEWALS);
        tokio::spawn(send_batches(upstream, rx));
        Self { tx }
    }

    /// Renews one lease with the next batch.
    pub(crate) async fn renew(&self, renewal: lift_state::LeaseRenewal) -> Answer {
        let (tx, rx) = oneshot::channel();
        self.tx
            .try_send(Renewal { renewal, tx })
            .map_err(|_| control_error::ControlError::Unavailable)?;
        rx.await
            .unwrap_or(Err(control_error::ControlError::Unknown))
    }
}

async fn send_batches(
    upstream: sync::Arc<dyn control_port::ControlPort>,
    mut rx: mpsc::Receiver<Renewal>,
) {
    while let Some(first) = rx.recv().await {
        timer::sleep(WINDOW).await;
        let mut batch = vec![first];
        while batch.len() < BATCH_RENEWALS
            && let Ok(next) = rx.try_recv()
        {
            batch.push(next);
        }
        tokio::spawn(send_batch(sync::Arc::clone(&upstream), batch));
    }
}

async fn send_batch(upstream: sync::Arc<dyn control_port::ControlPort>, batch: Vec<Renewal>) {
    let (renewals, waiting): (Vec<_>, Vec<_>) =
        batch.into_iter().map(|r| (r.renewal, r.tx)).unzip();
    let replies = upstream.renew_all(renewals).await;
    // An agent may have stopped waiting, so that its channel is closed.
    match replies {
        Ok(replies) => {
            for (tx, reply) in waiting.into_iter().zip(replies) {
                let _ = tx.send(Ok(reply));
            }
        }
        Err(error) => {
            for tx in waiting {
                let _ = tx.send(Err(error.current_context().clone()));
            }
        }
    }
}
