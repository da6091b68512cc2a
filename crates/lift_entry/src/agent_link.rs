//! Connection to an agent.

use std::{net, sync, time};

use tokio::sync::mpsc;

use crate::{link_event, mailbox, registration};

/// Maximum time to open a connection, including the handshake.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Maximum time between two received messages, and maximum time of one flush. A connection that
/// exceeds either is closed, and the next request opens another one.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Interval between pings. Four fit into [`SILENCE_TIMEOUT`].
const PING_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Maximum number of messages that wait for the writer.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// Buffered bytes at which the writer flushes before it encodes further messages.
const FLUSH_BYTES: usize = 64 * 1024;

/// Number of shards of the table of requests in progress.
const SHARDS: usize = 16;

type Pending =
    lift_shard::Shards<indexmap::IndexMap<lift_types::RequestId, sync::Arc<mailbox::Mailbox>>>;
type Reader = lift_wire::FrameReader<tokio::net::tcp::OwnedReadHalf>;
type Writer = lift_wire::FrameWriter<tokio::net::tcp::OwnedWriteHalf>;

/// Open connection to an agent with the requests that wait for answers on it.
#[derive(Debug)]
pub(crate) struct AgentLink {
    tx: mpsc::Sender<lift_wire::CallMessage>,
    pending: sync::Arc<Pending>,
    closed: tokio_util::sync::CancellationToken,
}

impl AgentLink {
    /// Connects to the agent at `addr`. Returns `None` if the connection or its handshake fails
    /// or times out.
    pub(crate) async fn open(
        addr: net::SocketAddr,
        keys: &lift_wire::LinkKeys,
        counters: sync::Arc<lift_obs::Counters>,
        stopped: &tokio_util::sync::CancellationToken,
    ) -> Option<sync::Arc<Self>> {
        let connect = async {
            let stream = tokio::net::TcpStream::connect(addr).await.ok()?;
            let connected = lift_wire::connect(stream, keys, lift_wire::Purpose::Calls).await;
            connected.ok()
        };
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
        let Ok(Some((reader, writer))) = connected else {
            counters.increment("link.connect_failed");
            return None;
        };
        let (tx, rx) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let link = sync::Arc::new(Self {
            tx,
            pending: sync::Arc::new(Pending::new(SHARDS, |_| indexmap::IndexMap::new())),
            closed: stopped.child_token(),
        });
        tokio::spawn(write_messages(writer, rx, link.closed.clone()));
        let pending = sync::Arc::clone(&link.pending);
        tokio::spawn(read_messages(
            reader,
            pending,
            link.closed.clone(),
            counters,
        ));
        Some(link)
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    pub(crate) fn close(&self) {
        self.closed.cancel();
    }

    /// Registers a request and queues its message.
    ///
    /// # Errors
    ///
    /// Fails only if the message was not queued, so that it will never be sent.
    pub(crate) async fn send_request(
        self: &sync::Arc<Self>,
        id: lift_types::RequestId,
        message: lift_wire::CallMessage,
    ) -> Result<registration::Registration, lift_route::AttemptFailure> {
        let mailbox = sync::Arc::new(mailbox::Mailbox::default());
        self.pending.with(&id, |pending| {
            pending.insert(id, sync::Arc::clone(&mailbox))
        });
        let registration = registration::Registration {
            id,
            link: sync::Arc::clone(self),
            mailbox,
        };
        if self.enqueue(message).await {
            return Ok(registration);
        }
        Err(lift_route::AttemptFailure::NotSent)
    }

    async fn enqueue(&self, message: lift_wire::CallMessage) -> bool {
        // A link that closes after this check notifies all requests registered by then.
        if self.is_closed() {
            return false;
        }
        match self.tx.try_send(message) {
            Ok(()) => true,
            Err(mpsc::error::TrySendError::Closed(_)) => false,
            Err(mpsc::error::TrySendError::Full(message)) => tokio::select! {
                biased;
                () = self.closed.cancelled() => false,
                sent = self.tx.send(message) => sent.is_ok(),
            },
        }
    }

    /// Removes the registration of a request.
    pub(crate) fn deregister(&self, id: lift_types::RequestId) {
        self.pending.with(&id, |pending| pending.swap_remove(&id));
    }

    /// Queues a message that is not answered on the link and may be lost, such as a cancel or a
    /// credit. Closes the link if the queue is full.
    pub(crate) fn notify(&self, message: lift_wire::CallMessage) {
        if self.tx.try_send(message).is_err() {
            self.close();
        }
    }
}

/// Delivers received messages to their requests until the link closes, then fails the requests
/// that still wait.
async fn read_messages(
    mut reader: Reader,
    pending: sync::Arc<Pending>,
    closed: tokio_util::sync::CancellationToken,
    counters: sync::Arc<lift_obs::Counters>,
) {
    let failure = loop {
        let received = tokio::select! {
            received = tokio::time::timeout(SILENCE_TIMEOUT, reader.recv()) => received,
            () = closed.cancelled() => break lift_route::AttemptFailure::ConnectionLost,
        };
        match received {
            Ok(Ok(message)) => deliver(&pending, message, &counters),
            Ok(Err(_)) => break lift_route::AttemptFailure::ConnectionLost,
            Err(_) => break lift_route::AttemptFailure::ConnectionSilent,
        }
    };
    counters.increment_member("link.closed", failure.retry_reason().into());
    closed.cancel();
    // A request that registers from now on finds the link closed, so none waits forever.
    pending.for_each(|pending| {
        for (_, mailbox) in pending.drain(..) {
            mailbox.push(link_event::LinkEvent::Lost(failure));
        }
    });
}

fn deliver(pending: &Pending, message: lift_wire::AnswerMessage, counters: &lift_obs::Counters) {
    let Some(id) = message.id() else {
        return;
    };
    let is_last = message.is_last();
    let mailbox = pending.with(&id, |pending| {
        if is_last {
            return pending.swap_remove(&id);
        }
        pending.get(&id).cloned()
    });
    match mailbox {
        Some(mailbox) => mailbox.push(link_event::LinkEvent::Message(message)),
        None => counters.increment("link.late_message"),
    }
}

/// Writes queued messages and pings until the link closes. Messages that are queued together
/// are flushed together.
async fn write_messages(
    mut writer: Writer,
    mut rx: mpsc::Receiver<lift_wire::CallMessage>,
    closed: tokio_util::sync::CancellationToken,
) {
    let _guard = closed.clone().drop_guard();
    let mut pings = tokio::time::interval(PING_INTERVAL);
    loop {
        let message = tokio::select! {
            biased;
            () = closed.cancelled() => return,
            message = rx.recv() => message,
            _ = pings.tick() => Some(lift_wire::CallMessage::Ping),
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
        let flushed = tokio::time::timeout(SILENCE_TIMEOUT, writer.flush()).await;
        if !matches!(flushed, Ok(Ok(()))) {
            return;
        }
    }
}
