//! Sends the answer of one call to the entry.

use std::sync;

use crate::in_flight_call;

/// Maximum size of a body part in one message, in bytes. Small parts let short answers on the
/// same connection be sent between the parts of long ones.
const MAX_PART_BYTES: usize = 32 * 1024;

/// No more of the answer can be sent: the connection is closed, the call is cancelled, or the
/// deadline has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SendAborted;

/// Sends the messages of one answer. Body parts are limited by the credit that the entry grants.
#[derive(Debug)]
pub(crate) struct AnswerSender {
    id: lift_types::RequestId,
    tx: tokio::sync::mpsc::Sender<lift_wire::AnswerMessage>,
    call: sync::Arc<in_flight_call::InFlightCall>,
    deadline: tokio::time::Instant,
    sequence: u32,
    total_bytes: u64,
}

impl AnswerSender {
    pub(crate) fn new(
        id: lift_types::RequestId,
        tx: tokio::sync::mpsc::Sender<lift_wire::AnswerMessage>,
        call: sync::Arc<in_flight_call::InFlightCall>,
        deadline: tokio::time::Instant,
    ) -> Self {
        Self {
            id,
            tx,
            call,
            deadline,
            sequence: 0,
            total_bytes: 0,
        }
    }

    pub(crate) async fn send_head(
        &self,
        head: &lift_border::AnswerHead,
    ) -> Result<(), SendAborted> {
        self.send(lift_wire::AnswerMessage::Head {
            id: self.id,
            status: head.status,
            headers: head.headers.clone(),
            version: head.version.clone(),
            length: head.length,
        })
        .await
    }

    pub(crate) async fn send_data(&mut self, mut bytes: bytes::Bytes) -> Result<(), SendAborted> {
        while !bytes.is_empty() {
            let part = bytes.split_to(bytes.len().min(MAX_PART_BYTES));
            self.acquire_credit(part.len() as u32).await?;
            let sequence = self.sequence;
            self.sequence += 1;
            self.total_bytes += part.len() as u64;
            self.send(lift_wire::AnswerMessage::Data {
                id: self.id,
                sequence,
                bytes: part,
            })
            .await?;
        }
        Ok(())
    }

    pub(crate) async fn send_end(&self) -> Result<(), SendAborted> {
        self.send(lift_wire::AnswerMessage::End {
            id: self.id,
            total: self.total_bytes,
            count: self.sequence,
        })
        .await
    }

    pub(crate) async fn send_failure(
        &self,
        failure: lift_wire::CallFailure,
    ) -> Result<(), SendAborted> {
        let id = self.id;
        self.send(lift_wire::AnswerMessage::Failed { id, failure })
            .await
    }

    pub(crate) async fn send_refusal(
        &self,
        reason: lift_types::RefusalReason,
        attempt: Option<lift_types::Attempt>,
    ) -> Result<(), SendAborted> {
        self.send(lift_wire::AnswerMessage::Refused {
            id: self.id,
            reason,
            attempt,
        })
        .await
    }

    async fn acquire_credit(&self, bytes: u32) -> Result<(), SendAborted> {
        let credit = self.call.credit.acquire_many(bytes);
        let acquired = tokio::select! {
            biased;
            acquired = credit => acquired,
            () = self.call.cancelled.cancelled() => return Err(SendAborted),
            () = tokio::time::sleep_until(self.deadline) => return Err(SendAborted),
        };
        acquired
            .map(|permits| permits.forget())
            .map_err(|_| SendAborted)
    }

    async fn send(&self, message: lift_wire::AnswerMessage) -> Result<(), SendAborted> {
        self.tx.send(message).await.map_err(|_| SendAborted)
    }
}
