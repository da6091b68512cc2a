//! One connection to another agent.

use tokio::sync as tokio_sync;
use tokio_util::sync as util_sync;

use crate::interest;

/// Maximum number of queued messages of a connection. A full queue shows that the other end
/// does not read, so the connection is closed.
pub(crate) const QUEUE_MESSAGES: usize = 256;

/// A message in the queue of the writer of a connection.
#[derive(Debug)]
pub(crate) struct OutgoingMessage {
    pub(crate) message: lift_wire::ChunkMessage,
    /// Notified after the message has been written.
    pub(crate) written: Option<tokio_sync::oneshot::Sender<()>>,
}

/// Sending side of a connection, and the identity and interest of the agent at the other end.
#[derive(Clone, Debug)]
pub(crate) struct PeerLink {
    pub(crate) location: lift_types::Location,
    pub(crate) incarnation: lift_types::Incarnation,
    /// Host that opened the connection.
    pub(crate) dialer: lift_types::HostId,
    /// Interest of the other end, `None` until it has been received.
    pub(crate) interest: Option<interest::Interest>,
    pub(crate) tx: tokio_sync::mpsc::Sender<OutgoingMessage>,
    /// Closes the connection when cancelled.
    pub(crate) close: util_sync::CancellationToken,
}

impl PeerLink {
    /// Queues a message without waiting. Closes the connection and returns `false` if the queue
    /// is full or closed.
    pub(crate) fn send(&self, message: lift_wire::ChunkMessage) -> bool {
        let written = None;
        let sent = self
            .tx
            .try_send(OutgoingMessage { message, written })
            .is_ok();
        if !sent {
            self.close.cancel();
        }
        sent
    }

    /// Returns whether this connection replaces `old`, a connection to the same host. The
    /// connection of the later incarnation wins. Of two connections between the same processes,
    /// both ends keep the one that the host with the lower id opened, unless the old one is
    /// closed.
    pub(crate) fn replaces(&self, old: &Self, local_host: lift_types::HostId) -> bool {
        if self.incarnation != old.incarnation {
            return self.incarnation > old.incarnation;
        }
        old.close.is_cancelled()
            || (self.dialer != old.dialer && self.dialer == local_host.min(self.location.host))
    }
}
