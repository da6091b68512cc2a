//! One connection to another agent.

use tokio::sync as tokio_sync;
use tokio_util::sync as util_sync;

use crate::interest;

/// Messages that may wait for a connection. Above it the other end does not read, and the
/// connection is closed.
pub(crate) const QUEUE_MESSAGES: usize = 256;

/// A message on its way to the writer of a connection.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) message: lift_wire::ChunkMessage,
    /// Told when the message was written.
    pub(crate) written: Option<tokio_sync::oneshot::Sender<()>>,
}

/// Sending side of a connection, and what the other end has said.
#[derive(Clone, Debug)]
pub(crate) struct PeerLink {
    pub(crate) location: lift_types::Location,
    pub(crate) incarnation: lift_types::Incarnation,
    /// Host that opened the connection.
    pub(crate) dialer: lift_types::HostId,
    /// What the other end fetches.
    pub(crate) interest: Option<interest::Interest>,
    pub(crate) tx: tokio_sync::mpsc::Sender<Outgoing>,
    /// Ends the connection.
    pub(crate) close: util_sync::CancellationToken,
}

impl PeerLink {
    /// Queues a message without waiting. Closes the connection where the queue is full.
    pub(crate) fn send(&self, message: lift_wire::ChunkMessage) -> bool {
        let written = None;
        let sent = self.tx.try_send(Outgoing { message, written }).is_ok();
        if !sent {
            self.close.cancel();
        }
        sent
    }

    /// Whether this connection takes the place of `old` to the same host. Of two
    /// connections between the same processes both ends keep the one that the lower host
    /// opened.
    pub(crate) fn replaces(&self, old: &Self, own: lift_types::HostId) -> bool {
        if self.incarnation != old.incarnation {
            return self.incarnation > old.incarnation;
        }
        old.close.is_cancelled()
            || (self.dialer != old.dialer && self.dialer == own.min(self.location.host))
    }
}
