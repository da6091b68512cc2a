//! One connection of a client.

use std::{collections, net, sync, time};

use error_stack::ResultExt as _;
use sync::atomic;
use tokio::sync::{mpsc, oneshot};
use tokio::time as timer;

use crate::{control_error, link_io, packet, policy_update, reply, request};

/// Time for the connection and its handshake. Hosts are at most 3 ms apart.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Requests that wait for an answer, in shards by request id.
const SHARDS: usize = 16;

/// Packets that may wait for the writer.
const QUEUED_PACKETS: usize = 1_024;

type Pending = collections::HashMap<lift_types::RequestId, oneshot::Sender<reply::Reply>>;

/// What became of a request on one connection.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// The other end answered.
    Answered(Box<reply::Reply>),
    /// The request was never written.
    Unsent,
    /// The connection ended, or is no longer used, before the answer came.
    Lost,
}

/// Whether a request may be carried out again, which decides if it is given up early on a
/// connection that seems to have stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resend {
    /// A repeat gets the same answer.
    Allowed,
    /// A repeat gets another answer than the first one would have been.
    Refused,
}

/// A connection on which requests are multiplexed by request id.
#[derive(Debug)]
pub(crate) struct ClientLink {
    pub(crate) address: net::SocketAddr,
    pub(crate) opened_at: time::Instant,
    tx: mpsc::Sender<packet::Packet>,
    pending: lift_shard::Shards<Pending>,
    next_id: atomic::AtomicU64,
    /// The connection has ended.
    pub(crate) closed: tokio_util::sync::CancellationToken,
    /// Another connection is to take over. Requests that wait may still be answered.
    pub(crate) replaced: tokio_util::sync::CancellationToken,
}

impl ClientLink {
    /// Connects, and passes pushed policies on.
    pub(crate) async fn connect(
        address: net::SocketAddr,
        keys: &lift_wire::LinkKeys,
        pushes: mpsc::Sender<policy_update::PolicyUpdate>,
    ) -> Result<sync::Arc<Self>, error_stack::Report<control_error::ControlError>> {
        let connecting = async {
            let stream = tokio::net::TcpStream::connect(address)
                .await
                .change_context(control_error::ControlError::Unavailable)?;
            lift_wire::connect(stream, keys, lift_wire::Purpose::ControlClient)
                .await
                .change_context(control_error::ControlError::Unavailable)
        };
        let (reader, writer) = timer::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .change_context(control_error::ControlError::Unavailable)??;
        let (tx, rx) = mpsc::channel(QUEUED_PACKETS);
        let link = sync::Arc::new(Self {
            address,
            opened_at: time::Instant::now(),
            tx,
            pending: lift_shard::Shards::new(SHARDS, |_| collections::HashMap::new()),
            next_id: atomic::AtomicU64::new(1),
            closed: tokio_util::sync::CancellationToken::new(),
            replaced: tokio_util::sync::CancellationToken::new(),
        });
        tokio::spawn(link_io::write(writer, rx, link.closed.clone()));
        tokio::spawn(sync::Arc::clone(&link).read(reader, pushes));
        Ok(link)
    }

    /// Sends an encoded request and waits for its answer. The caller limits the time.
    pub(crate) async fn call(&self, body: bytes::Bytes, resend: Resend) -> Attempt {
        let id = self.next_id.fetch_add(1, atomic::Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        let _waiting = Waiting { link: self, id };
        self.pending.with(&id, |pending| pending.insert(id, tx));
        if self.closed.is_cancelled() {
            return Attempt::Unsent;
        }
        let packet = packet::Packet::new(packet::REQUEST, id, body);
        if self.tx.send(packet).await.is_err() {
            return Attempt::Unsent;
        }
        let given_up = async {
            match resend {
                Resend::Allowed => self.replaced.cancelled().await,
                Resend::Refused => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            answer = rx => answer.map_or(Attempt::Lost, |reply| Attempt::Answered(Box::new(reply))),
            () = given_up => Attempt::Lost,
        }
    }

    /// Whether new requests may be sent here.
    pub(crate) fn is_usable(&self) -> bool {
        !self.closed.is_cancelled() && !self.replaced.is_cancelled()
    }

    /// Encodes a request once for several attempts.
    pub(crate) fn encode(
        req: &request::Request,
    ) -> Result<bytes::Bytes, control_error::ControlError> {
        packet::encode(req)
    }

    async fn read(
        self: sync::Arc<Self>,
        mut reader: lift_wire::FrameReader<tokio::net::tcp::OwnedReadHalf>,
        pushes: mpsc::Sender<policy_update::PolicyUpdate>,
    ) {
        while let Some(packet) = link_io::read(&mut reader, &self.closed).await {
            match packet.kind {
                packet::REPLY => self.answer(&packet),
                packet::PUSH => {
                    // An unreadable push is dropped; the next confirmation fetches the policy.
                    if let Ok(update) = packet.open(packet::PUSH)
                        && pushes.send(update).await.is_err()
                    {
                        break;
                    }
                }
                _ => {}
            }
        }
        self.closed.cancel();
        self.pending.for_each(collections::HashMap::clear);
    }

    fn answer(&self, packet: &packet::Packet) {
        let waiting = self
            .pending
            .with(&packet.id, |pending| pending.remove(&packet.id));
        let Some(waiting) = waiting else {
            return;
        };
        let reply = packet.open(packet::REPLY);
        let reply = reply.unwrap_or_else(|_| {
            // The other end carried the request out, but the answer is not readable here.
            reply::Reply::Failed(control_error::ControlError::Unknown)
        });
        // The caller may have stopped waiting.
        let _ = waiting.send(reply);
    }
}

/// Removes a request that nobody waits for any more.
struct Waiting<'a> {
    link: &'a ClientLink,
    id: lift_types::RequestId,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.link
            .pending
            .with(&self.id, |pending| pending.remove(&self.id));
    }
}
