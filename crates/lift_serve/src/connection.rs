//! One connection of an entry.

use std::{sync, time};

use tokio::net;

use crate::{in_flight, runner, seen_attempt, shared};

/// Silence after which a connection is closed. The entry pings four times in it.
const SILENCE: time::Duration = time::Duration::from_secs(2);

/// Longest handshake.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Answers that may wait for the writer of a connection.
const OUTBOX_MESSAGES: usize = 1_024;

/// Bytes that are collected before they are written.
const FLUSH_BYTES: usize = 64 * 1024;

/// Longest wait for the other end to close.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Number of shards of the calls of a connection.
const SHARDS: usize = 8;

type Calls =
    lift_shard::Shards<indexmap::IndexMap<lift_types::RequestId, sync::Arc<in_flight::InFlight>>>;
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
    /// Serves `stream` until it ends, is silent or damaged, or the agent stops.
    pub(crate) async fn serve(shared: sync::Arc<shared::Shared>, stream: net::TcpStream) {
        let accept = lift_wire::accept(stream, &shared.keys, lift_wire::Purpose::Calls);
        let ends = match tokio::time::timeout(HANDSHAKE_TIMEOUT, accept).await {
            Ok(Ok(ends)) => ends,
            Ok(Err(e)) => {
                shared.counters.increment("serve.handshake_failed");
                slog::warn!(shared.logger, "connection refused"; "error" => %e.current_context());
                return;
            }
            Err(_) => return shared.counters.increment("serve.handshake_failed"),
        };
        let (mut reader, writer) = ends;
        let (tx, rx) = tokio::sync::mpsc::channel(OUTBOX_MESSAGES);
        let closed = shared.stopped.child_token();
        let connection = Self {
            shared,
            calls: sync::Arc::new(Calls::new(SHARDS, |_| indexmap::IndexMap::new())),
            closed: closed.clone(),
            tx,
        };
        tokio::spawn(write(writer, rx, closed));
        connection.read(&mut reader).await;
        connection.closed.cancel();
        drop(connection);
        drain(reader).await;
    }

    async fn read(&self, reader: &mut Reader) {
        loop {
            let message = tokio::select! {
                message = tokio::time::timeout(SILENCE, reader.recv()) => message,
                () = self.closed.cancelled() => return,
            };
            match message {
                Ok(Ok(message)) => self.take(message).await,
                Ok(Err(_)) => return self.shared.counters.increment("serve.connection_lost"),
                Err(_) => return self.shared.counters.increment("serve.connection_silent"),
            }
        }
    }

    async fn take(&self, message: lift_wire::CallMessage) {
        match message {
            lift_wire::CallMessage::Call(call) => self.start(*call),
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
                let state = self.query(*query);
                let _ = self
                    .tx
                    .send(lift_wire::AnswerMessage::Claim { id, state })
                    .await;
            }
            lift_wire::CallMessage::Ping => {
                let _ = self.tx.send(lift_wire::AnswerMessage::Pong).await;
            }
        }
    }

    fn start(&self, call: lift_wire::Call) {
        let id = call.id;
        let call_state = in_flight::InFlight::new(self.closed.child_token());
        let call_state = sync::Arc::new(call_state);
        let is_new = self.calls.with(&id, |calls| {
            calls.insert(id, sync::Arc::clone(&call_state)).is_none()
        });
        if !is_new {
            // Ids are unique on a connection, so the other end is at fault.
            self.shared.counters.increment("serve.id_reused");
            return self.closed.cancel();
        }
        let shared = sync::Arc::clone(&self.shared);
        let runner = runner::Runner::new(shared, call, call_state, self.tx.clone());
        let calls = sync::Arc::clone(&self.calls);
        self.shared.tasks.spawn(async move {
            runner.run().await;
            calls.with(&id, |calls| calls.swap_remove(&id));
        });
    }

    fn query(&self, query: lift_wire::ClaimQuery) -> lift_wire::ClaimState {
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
            seen_attempt::SeenAttempt::Running => lift_wire::ClaimState::Running,
            seen_attempt::SeenAttempt::Never => lift_wire::ClaimState::Never,
            // Control has recorded an outcome that is no longer kept here.
            seen_attempt::SeenAttempt::Ran(None) | seen_attempt::SeenAttempt::Unknown => {
                lift_wire::ClaimState::Unknown
            }
            seen_attempt::SeenAttempt::Ran(Some(outcome)) => lift_wire::ClaimState::Ran {
                status: outcome.status,
                headers: outcome.headers,
                body: outcome.body,
            },
        }
    }
}

/// Reads on until the other end closes, too. Closing a socket with unread bytes resets the
/// connection, and the last answers could be lost on their way.
async fn drain(mut reader: Reader) {
    let rest = async { while reader.recv::<lift_wire::CallMessage>().await.is_ok() {} };
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, rest).await;
}

/// Writes answers, several in one write where they wait.
async fn write(
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
        while writer.buffered() < FLUSH_BYTES {
            let Ok(message) = rx.try_recv() else {
                break;
            };
            if writer.push(&message).is_err() {
                return;
            }
        }
        let flushed = tokio::time::timeout(SILENCE, writer.flush()).await;
        if !matches!(flushed, Ok(Ok(()))) {
            return;
        }
    }
}
