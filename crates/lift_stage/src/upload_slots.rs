//! Room for the pieces that an agent sends.

use std::sync;

use tokio::sync as tokio_sync;

/// Pieces that are sent at once to agents of the own region. Two keep the link busy while the next
/// piece is read from the staging area.
const LOCAL_SLOTS: usize = 2;

/// Pieces that are sent at once to agents of other regions.
const REMOTE_SLOTS: usize = 1;

/// Requests from the own region that may wait or be served. Others are refused at once: they do
/// better to ask another agent than to wait until they time out here.
const LOCAL_QUEUE: usize = 3;

/// Requests from other regions that may wait or be served.
const REMOTE_QUEUE: usize = 6;

/// Limits of the requests of one group of agents.
#[derive(Clone, Debug)]
pub(crate) struct UploadSlots {
    slots: sync::Arc<tokio_sync::Semaphore>,
    queue: sync::Arc<tokio_sync::Semaphore>,
}

impl UploadSlots {
    /// Limits for agents of the own region.
    pub(crate) fn local() -> Self {
        Self::new(LOCAL_SLOTS, LOCAL_QUEUE)
    }

    /// Limits for agents of other regions. They have slots of their own: a region lacks a piece
    /// until the one agent that asks another region for it is served, while the agents of the own
    /// region can get it from each other.
    pub(crate) fn remote() -> Self {
        Self::new(REMOTE_SLOTS, REMOTE_QUEUE)
    }

    fn new(slots: usize, queue: usize) -> Self {
        Self {
            slots: sync::Arc::new(tokio_sync::Semaphore::new(slots)),
            queue: sync::Arc::new(tokio_sync::Semaphore::new(queue)),
        }
    }

    /// Takes a place in the queue, or `None` where it is full.
    pub(crate) fn enqueue(&self) -> Option<tokio_sync::OwnedSemaphorePermit> {
        sync::Arc::clone(&self.queue).try_acquire_owned().ok()
    }

    /// Waits for the turn to send a piece. `None` if none is sent any more.
    pub(crate) async fn acquire(&self) -> Option<tokio_sync::SemaphorePermit<'_>> {
        self.slots.acquire().await.ok()
    }
}
