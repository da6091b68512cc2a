//! Sends one answer.

use std::sync;

use crate::in_flight;

/// Longest part of a body in one message, in bytes. Short parts let small answers on the
/// same connection pass between those of long ones.
const MAX_PART_BYTES: usize = 32 * 1024;

/// The connection or the caller has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Gone;

/// Sends the messages of one answer within the credit of its caller.
#[derive(Debug)]
pub(crate) struct AnswerSender {
    id: lift_types::RequestId,
    tx: tokio::sync::mpsc::Sender<lift_wire::AnswerMessage>,
    in_flight: sync::Arc<in_flight::InFlight>,
    ends_at: tokio::time::Instant,
    sequence: u32,
    total: u64,
}

impl AnswerSender {
    pub(crate) fn new(
        id: lift_types::RequestId,
        tx: tokio::sync::mpsc::Sender<lift_wire::AnswerMessage>,
        in_flight: sync::Arc<in_flight::InFlight>,
        ends_at: tokio::time::Instant,
    ) -> Self {
        Self {
            id,
            tx,
            in_flight,
            ends_at,
            sequence: 0,
            total: 0,
        }
    }

    pub(crate) async fn head(&self, head: &lift_border::AnswerHead) -> Result<(), Gone> {
        self.send(lift_wire::AnswerMessage::Head {
            id: self.id,
            status: head.status,
            headers: head.headers.clone(),
            version: head.version.clone(),
            length: head.length,
        })
        .await
    }

    pub(crate) async fn data(&mut self, mut bytes: bytes::Bytes) -> Result<(), Gone> {
        while !bytes.is_empty() {
            let part = bytes.split_to(bytes.len().min(MAX_PART_BYTES));
            self.take_credit(part.len() as u32).await?;
            let sequence = self.sequence;
            self.sequence += 1;
            self.total += part.len() as u64;
            self.send(lift_wire::AnswerMessage::Data {
                id: self.id,
                sequence,
                bytes: part,
            })
            .await?;
        }
        Ok(())
    }

    pub(crate) async fn end(&self) -> Result<(), Gone> {
        self.send(lift_wire::AnswerMessage::End {
            id: self.id,
            total: self.total,
            count: self.sequence,
        })
        .await
    }

    pub(crate) async fn fail(&self, failure: lift_wire::CallFailure) -> Result<(), Gone> {
        let id = self.id;
        self.send(lift_wire::AnswerMessage::Failed { id, failure })
            .await
    }

    pub(crate) async fn refuse(
        &self,
        reason: lift_types::RefusalReason,
        attempt: Option<lift_types::Attempt>,
    ) -> Result<(), Gone> {
        self.send(lift_wire::AnswerMessage::Refused {
            id: self.id,
            reason,
            attempt,
        })
        .await
    }

    async fn take_credit(&self, bytes: u32) -> Result<(), Gone> {
        let credit = self.in_flight.credit.acquire_many(bytes);
        let taken = tokio::select! {
            biased;
            taken = credit => taken,
            () = self.in_flight.cancelled.cancelled() => return Err(Gone),
            () = tokio::time::sleep_until(self.ends_at) => return Err(Gone),
        };
        taken.map(|permits| permits.forget()).map_err(|_| Gone)
    }

    async fn send(&self, message: lift_wire::AnswerMessage) -> Result<(), Gone> {
        self.tx.send(message).await.map_err(|_| Gone)
    }
}
