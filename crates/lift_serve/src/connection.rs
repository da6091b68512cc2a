//! A connection from an entry.

use std::{sync, time};

use tokio::net;

use crate::{attempt_state, call_runner, in_flight_call, shared};

/// Time without a message after which a connection is closed; also the maximum time of one
/// write. The entry sends four pings in this time.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Maximum time of a handshake.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Maximum number of messages that wait for the writer of a connection.
const MAX_QUEUED_MESSAGES: usize = 1_024;

/// Number of buffered bytes at which no further message is added to a write.
const WRITE_THRESHOLD_BYTES: usize = 64 * 1024;

/// Maximum time to wait until the entry closes its end.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Number of shards for the calls of a connection.
const SHARDS: usize = 8;

type Calls = lift_shard::Shards<
    indexmap::IndexMap<lift_types::RequestId, sync::Arc<in_flight_call::InFlightCall>>,
>;
type Reader = lift_wire::FrameReader<net::tcp::OwnedReadHalf>;
type Writer = lift_wire::FrameWriter<net::tcp::OwnedWriteHalf>;

/// A connection with its calls in progress.
#[derive(Debug)]
pub(crate) struct Connection {
    shared: sync::Arc<shared::Shared>,
    calls: sync::Arc<Calls>,
    closed: tokio_util::sync::CancellationToken,
    tx: tokio::sync::mpsc::Sender<lift_wire::AnswerMessage>,
}

impl Connection {
    /// Serves `stream` until it is closed, is silent for [`SILENCE_TIMEOUT`], delivers an invalid
    /// frame or a reused call id, a write fails or times out, or the agent stops.
    pub(crate) async fn serve(shared: sync::Arc<shared::Shared>, stream: net::TcpStream) {
        let handshake = lift_wire::accept(stream, &shared.keys, lift_wire::Purpose::Calls);
        let halves = match tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await {
            Ok(Ok(halves)) => halves,
            Ok(Err(e)) => {
                shared.counters.increment("serve.handshake_failed");
                slog::warn!(shared.logger, "handshake failed"; "error" => %e.current_context());
                return;
            }
            Err(_) => return shared.counters.increment("serve.handshake_failed"),
        };
        let (mut reader, writer) = halves;
        let (tx, rx) = tokio::sync::mpsc::channel(MAX_QUEUED_MESSAGES);
        let closed = shared.stopped.child_token();
        let connection = Self {
            shared,
            calls: sync::Arc::new(Calls::new(SHARDS, |_| indexmap::IndexMap::new())),
            closed: closed.clone(),
            tx,
        };
        tokio::spawn(write_messages(writer, rx, closed));
        connection.read_messages(&mut reader).await;
        connection.closed.cancel();
        drop(connection);
        discard_messages(reader).await;
    }

    async fn read_messages(&self, reader: &mut Reader) {
        loop {
            let message = tokio::select! {
                message = tokio::time::timeout(SILENCE_TIMEOUT, reader.recv()) => message,
                () = self.closed.cancelled() => return,
            };
            match message {
                Ok(Ok(message)) => self.handle_message(message).await,
                Ok(Err(_)) => return self.shared.counters.increment("serve.connection_lost"),
                Err(_) => return self.shared.counters.increment("serve.connection_silent"),
            }
        }
    }

    async fn handle_message(&self, message: lift_wire::CallMessage) {
        match message {
            lift_wire::CallMessage::Call(call) => self.start_call(*call),
            lift_wire::CallMessage::Cancel { id } => {
                let found = self.calls.with(&id, |calls| calls.get(&id).cloned());
                if let Some(call) = found {
                    call.cancelled.cancel();
                }
            }
            lift_wire::CallMessage::Credit { id, bytes } => {
                let found = self.calls.with(&id, |calls| calls.get(&id).cloned());
                if let Some(call) = found {
                    call.add_credit(bytes);
                }
            }
            lift_wire::CallMessage::QueryClaim(query) => {
                let id = query.id;
                let state = self.query_claim(*query);
                let _ = self
                    .tx
                    .send(lift_wire::AnswerMessage::Claim { id, state })
                    .await;
            }
            lift_wire::CallMessage::Leave => {
                slog::info!(self.shared.logger, "leaving"; "reason" => "requested by an entry");
                self.shared.leave();
            }
            lift_wire::CallMessage::Ping => {
                let _ = self.tx.send(lift_wire::AnswerMessage::Pong).await;
            }
        }
    }

    fn start_call(&self, call: lift_wire::Call) {
        let id = call.id;
        let in_flight = in_flight_call::InFlightCall::new(self.closed.child_token());
        let in_flight = sync::Arc::new(in_flight);
        let is_new = self.calls.with(&id, |calls| {
            calls.insert(id, sync::Arc::clone(&in_flight)).is_none()
        });
        if !is_new {
            // Ids must be unique among the calls in progress on a connection, so the entry is at
            // fault.
            self.shared.counters.increment("serve.id_reused");
            return self.closed.cancel();
        }
        let shared = sync::Arc::clone(&self.shared);
        let runner = call_runner::CallRunner::new(shared, call, in_flight, self.tx.clone());
        let calls = sync::Arc::clone(&self.calls);
        self.shared.tasks.spawn(async move {
            runner.run().await;
            calls.with(&id, |calls| calls.swap_remove(&id));
        });
    }

    fn query_claim(&self, query: lift_wire::ClaimQuery) -> lift_wire::ClaimState {
        if query.claim.incarnation != self.shared.incarnation {
            return lift_wire::ClaimState::Unknown;
        }
        let key = lift_state::ClaimKey {
            workspace: query.workspace,
            service: query.service,
            key: query.claim.key,
        };
        let now = time::Instant::now();
        match self.shared.claims.query(now, &key, query.claim.attempt) {
            attempt_state::AttemptState::Running => lift_wire::ClaimState::Running,
            attempt_state::AttemptState::WillNotRun => lift_wire::ClaimState::Never,
            // With `Ran(None)` control has recorded the outcome, which is no longer kept here.
            attempt_state::AttemptState::Ran(None) | attempt_state::AttemptState::Unknown => {
                lift_wire::ClaimState::Unknown
            }
            attempt_state::AttemptState::Ran(Some(outcome)) => lift_wire::ClaimState::Ran {
                status: outcome.status,
                headers: outcome.headers,
                body: outcome.body,
            },
        }
    }
}

/// Discards messages until the entry closes its end. Closing a socket with unread bytes resets
/// the connection, which could lose the last answers.
async fn discard_messages(mut reader: Reader) {
    let discard = async { while reader.recv::<lift_wire::CallMessage>().await.is_ok() {} };
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, discard).await;
}

/// Writes messages to the entry, several in one write if more are waiting.
async fn write_messages(
    mut writer: Writer,
    mut rx: tokio::sync::mpsc::Receiver<lift_wire::AnswerMessage>,
    closed: tokio_util::sync::CancellationToken,
) {
    let _guard = closed.clone().drop_guard();
    loop {
        let message = tokio::select! {
            biased;
            message = rx.recv() => message,
            () = closed.cancelled() => return,
        };
        let Some(message) = message else {
            return;
        };
        if writer.push(&message).is_err() {
            return;
        }
        while writer.buffered() < WRITE_THRESHOLD_BYTES {
            let Ok(message) = rx.try_recv() else {
                break;
            };
            if writer.push(&message).is_err() {
                return;
            }
        }
        let flushed = tokio::time::timeout(SILENCE_TIMEOUT, writer.flush()).await;
        if !matches!(flushed, Ok(Ok(()))) {
            return;
        }
    }
}
