//! Admission of requests.

use std::{sync, sync::atomic, time};

use tokio::sync::oneshot;

use crate::permit;

type AdmissionResult = Result<permit::Permit, lift_types::RefusalReason>;

/// Limits the number of requests in progress to `capacity`. While a slot is free and no request
/// waits, admission takes no lock. Otherwise requests wait in one fair queue, which has a single
/// lock because it is shared by all workspaces.
#[derive(Debug)]
pub(crate) struct Admission {
    capacity: usize,
    in_progress: atomic::AtomicUsize,
    waiting: atomic::AtomicUsize,
    next_ticket: atomic::AtomicU64,
    queue: parking_lot::Mutex<WaitQueue>,
}

/// Fair queue with the channel of each request that waits in it.
#[derive(Debug, Default)]
struct WaitQueue {
    queue: lift_route::FairQueue,
    waiters: indexmap::IndexMap<u64, oneshot::Sender<AdmissionResult>>,
}

impl Admission {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            in_progress: atomic::AtomicUsize::new(0),
            waiting: atomic::AtomicUsize::new(0),
            next_ticket: atomic::AtomicU64::new(0),
            queue: parking_lot::Mutex::default(),
        }
    }

    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(atomic::Ordering::SeqCst)
    }

    /// Waits for a slot, at most until `deadline`. Slots are shared fairly between workspaces.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the request is refused: the queue of the workspace is full,
    /// or `deadline` can't be met.
    pub(crate) async fn admit(
        self: &sync::Arc<Self>,
        workspace: &lift_types::WorkspaceId,
        limits: &lift_types::WorkspaceLimits,
        priority: lift_types::Priority,
        deadline: time::Instant,
    ) -> AdmissionResult {
        if self.waiting.load(atomic::Ordering::SeqCst) == 0 && self.try_acquire_slot() {
            return Ok(permit::Permit::new(sync::Arc::clone(self)));
        }
        let item = lift_route::QueueItem {
            ticket: self.next_ticket.fetch_add(1, atomic::Ordering::Relaxed),
            workspace: workspace.clone(),
            weight: limits.weight,
            max_queued: limits.max_queued,
            priority,
            deadline,
        };
        let receiver = self.enqueue(item)?;
        match tokio::time::timeout_at(deadline.into(), receiver).await {
            Ok(Ok(result)) => result,
            _ => Err(lift_types::RefusalReason::DeadlineUnmet),
        }
    }

    /// Releases the slot of a finished request and admits waiting requests.
    pub(crate) fn release(self: &sync::Arc<Self>) {
        self.in_progress.fetch_sub(1, atomic::Ordering::SeqCst);
        // A request that is queued after this check finds the slot that was released above.
        if self.waiting.load(atomic::Ordering::SeqCst) > 0 {
            self.admit_waiting(&mut self.queue.lock());
        }
    }

    fn enqueue(
        self: &sync::Arc<Self>,
        item: lift_route::QueueItem,
    ) -> Result<oneshot::Receiver<AdmissionResult>, lift_types::RefusalReason> {
        let (tx, rx) = oneshot::channel();
        let mut waiting = self.queue.lock();
        let ticket = item.ticket;
        waiting.queue.push(time::Instant::now(), item)?;
        waiting.waiters.insert(ticket, tx);
        self.waiting.fetch_add(1, atomic::Ordering::SeqCst);
        self.admit_waiting(&mut waiting);
        Ok(rx)
    }

    fn admit_waiting(self: &sync::Arc<Self>, waiting: &mut WaitQueue) {
        while self.waiting.load(atomic::Ordering::SeqCst) > 0 && self.try_acquire_slot() {
            if !self.admit_next(waiting) {
                self.in_progress.fetch_sub(1, atomic::Ordering::SeqCst);
            }
        }
    }

    /// Hands an acquired slot to the next request in the queue. Returns `false` if the slot was not
    /// used because the queue is empty, or because the request has expired or no longer waits.
    fn admit_next(self: &sync::Arc<Self>, waiting: &mut WaitQueue) -> bool {
        let Some(dequeued) = waiting.queue.pop(time::Instant::now()) else {
            return false;
        };
        self.waiting.fetch_sub(1, atomic::Ordering::SeqCst);
        let (ticket, is_expired) = match dequeued {
            lift_route::Dequeued::Admitted { ticket } => (ticket, false),
            lift_route::Dequeued::Expired { ticket } => (ticket, true),
        };
        let Some(tx) = waiting.waiters.swap_remove(&ticket) else {
            return false;
        };
        if is_expired {
            let _ = tx.send(Err(lift_types::RefusalReason::DeadlineUnmet));
            return false;
        }
        let permit = permit::Permit::new(sync::Arc::clone(self));
        match tx.send(Ok(permit)) {
            Err(Ok(permit)) => {
                permit.disarm();
                false
            }
            _ => true,
        }
    }

    fn try_acquire_slot(&self) -> bool {
        let order = atomic::Ordering::SeqCst;
        let increment = |in_use| (in_use < self.capacity).then_some(in_use + 1);
        self.in_progress
            .fetch_update(order, order, increment)
            .is_ok()
    }
}
