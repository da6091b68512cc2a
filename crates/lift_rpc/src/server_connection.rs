//! One connection of a server.

use std::sync;

use sync::atomic;
use tokio::sync::mpsc;

use crate::{control_error, dispatch, link_io, packet, policy_update, reply, request};

/// Requests of one connection that are carried out at a time. A relay has many agents.
const MAX_REQUESTS: usize = 1_024;

/// Packets that may wait for the writer. Requests wait for a place in it.
const QUEUED_PACKETS: usize = 256;

/// A client and what is known of it.
#[derive(Debug)]
pub(crate) struct ServerConnection {
    dispatch: sync::Arc<dispatch::Dispatch>,
    counters: sync::Arc<lift_obs::Counters>,
    tx: mpsc::Sender<packet::Packet>,
    closed: tokio_util::sync::CancellationToken,
    requests: sync::Arc<tokio::sync::Semaphore>,
    /// Revision that the client has or that was sent to it. [`NOT_FOLLOWING`] before its
    /// first question.
    known: atomic::AtomicU64,
}

/// A client that has not asked for the current revision gets no pushes.
const NOT_FOLLOWING: lift_types::Revision = lift_types::Revision::MAX;

impl ServerConnection {
    /// Serves one connection until it ends, is silent or `closed` is cancelled.
    pub(crate) async fn serve(
        reader: lift_wire::FrameReader<tokio::net::tcp::OwnedReadHalf>,
        writer: lift_wire::FrameWriter<tokio::net::tcp::OwnedWriteHalf>,
        dispatch: sync::Arc<dispatch::Dispatch>,
        counters: sync::Arc<lift_obs::Counters>,
        closed: tokio_util::sync::CancellationToken,
    ) {
        let (tx, rx) = mpsc::channel(QUEUED_PACKETS);
        let connection = sync::Arc::new(Self {
            dispatch,
            counters,
            tx,
            closed,
            requests: sync::Arc::new(tokio::sync::Semaphore::new(MAX_REQUESTS)),
            known: atomic::AtomicU64::new(NOT_FOLLOWING),
        });
        let writing = link_io::write(writer, rx, connection.closed.clone());
        let pushing = connection.push_policies();
        let reading = sync::Arc::clone(&connection).read(reader);
        tokio::join!(writing, pushing, reading);
    }

    async fn read(
        self: sync::Arc<Self>,
        mut reader: lift_wire::FrameReader<tokio::net::tcp::OwnedReadHalf>,
    ) {
        while let Some(packet) = link_io::read(&mut reader, &self.closed).await {
            let Ok(permit) = sync::Arc::clone(&self.requests).try_acquire_owned() else {
                self.counters.increment("control.server.busy");
                let busy = reply::Reply::Failed(control_error::ControlError::Unavailable);
                self.reply(packet.id, &busy).await;
                continue;
            };
            let connection = sync::Arc::clone(&self);
            let mut answering = Box::pin(async move {
                connection.answer(packet).await;
                drop(permit);
            });
            // The first step is taken here, so that requests are begun in the order in which
            // they arrive: a client may send a chain of changes without waiting in between.
            if futures_util::poll!(answering.as_mut()).is_pending() {
                tokio::spawn(answering);
            }
        }
        self.closed.cancel();
    }

    async fn answer(&self, packet: packet::Packet) {
        let reply = match packet.open::<request::Request>(packet::REQUEST) {
            Ok(req) => {
                let known = match req {
                    request::Request::Confirm { revision } => Some(revision),
                    _ => None,
                };
                let reply = self.dispatch.answer(req).await;
                self.note_known(known, &reply);
                reply
            }
            Err(error) => {
                self.counters.increment("control.server.unknown_message");
                reply::Reply::Failed(error)
            }
        };
        self.reply(packet.id, &reply).await;
    }

    /// Whoever asks for the current revision follows the policy from there on.
    fn note_known(&self, asked: Option<lift_types::Revision>, reply: &reply::Reply) {
        let Some(asked) = asked else {
            return;
        };
        let known = match reply {
            reply::Reply::Confirmed { revision, .. } => asked.max(*revision),
            _ => asked,
        };
        let order = atomic::Ordering::Relaxed;
        let _ = self.known.fetch_update(order, order, |before| {
            Some(match before {
                NOT_FOLLOWING => known,
                before => before.max(known),
            })
        });
    }

    async fn reply(&self, id: lift_types::RequestId, reply: &reply::Reply) {
        let encoded =
            packet::encode(reply).or_else(|error| packet::encode(&reply::Reply::Failed(error)));
        let Ok(body) = encoded else {
            return;
        };
        let packet = packet::Packet::new(packet::REPLY, id, body);
        // The writer ends with the connection.
        let _ = self.tx.send(packet).await;
    }

    async fn push_policies(&self) {
        let mut views = self.dispatch.port.watch();
        loop {
            let changed = tokio::select! {
                biased;
                () = self.closed.cancelled() => return,
                changed = views.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
            let policy = sync::Arc::clone(&views.borrow_and_update().policy);
            let known = self.known.load(atomic::Ordering::Relaxed);
            // Notes the policy also where this client needs no update.
            let update = self.dispatch.history.update(known, &policy);
            if let Some(update) = update {
                self.push(&update).await;
                self.known
                    .fetch_max(policy.revision, atomic::Ordering::Relaxed);
            }
        }
    }

    async fn push(&self, update: &policy_update::PolicyUpdate) {
        let Ok(body) = packet::encode(update) else {
            return;
        };
        let _ = self
            .tx
            .send(packet::Packet::new(packet::PUSH, 0, body))
            .await;
    }
}
