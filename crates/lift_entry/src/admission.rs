//! Bounded work in progress.

use std::{sync, sync::atomic, time};

use tokio::sync::oneshot;

use crate::permit;

type Turn = Result<permit::Permit, lift_types::RefusalReason>;

/// Admits requests up to a number in progress. Below it a request takes one atomic step;
/// at it requests wait in the fair queue of all workspaces, which therefore has one lock.
#[derive(Debug)]
pub(crate) struct Admission {
    capacity: usize,
    in_progress: atomic::AtomicUsize,
    waiting: atomic::AtomicUsize,
    tickets: atomic::AtomicU64,
    queue: parking_lot::Mutex<Waiting>,
}

#[derive(Debug, Default)]
struct Waiting {
    queue: lift_route::FairQueue,
    turns: indexmap::IndexMap<u64, oneshot::Sender<Turn>>,
}

impl Admission {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            in_progress: atomic::AtomicUsize::new(0),
            waiting: atomic::AtomicUsize::new(0),
            tickets: atomic::AtomicU64::new(0),
            queue: parking_lot::Mutex::default(),
        }
    }

    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(atomic::Ordering::SeqCst)
    }

    /// Waits for a turn of the workspace, at most until `deadline`.
    pub(crate) async fn admit(
        self: &sync::Arc<Self>,
        workspace: &lift_types::WorkspaceId,
        limits: &lift_types::WorkspaceLimits,
        priority: lift_types::Priority,
        deadline: time::Instant,
    ) -> Turn {
        if self.waiting.load(atomic::Ordering::SeqCst) == 0 && self.try_take() {
            return Ok(permit::Permit::new(sync::Arc::clone(self)));
        }
        let item = lift_route::QueueItem {
            ticket: self.tickets.fetch_add(1, atomic::Ordering::Relaxed),
            workspace: workspace.clone(),
            weight: limits.weight,
            max_queued: limits.max_queued,
            priority,
            deadline,
        };
        let turn = self.enqueue(item)?;
        match tokio::time::timeout_at(deadline.into(), turn).await {
            Ok(Ok(turn)) => turn,
            _ => Err(lift_types::RefusalReason::DeadlineUnmet),
        }
    }

    /// Ends one request in progress and admits those that wait.
    pub(crate) fn release(self: &sync::Arc<Self>) {
        self.in_progress.fetch_sub(1, atomic::Ordering::SeqCst);
        // A request that starts to wait after this look sees the place that was freed above.
        if self.waiting.load(atomic::Ordering::SeqCst) > 0 {
            self.grant(&mut self.queue.lock());
        }
    }

    fn enqueue(
        self: &sync::Arc<Self>,
        item: lift_route::QueueItem,
    ) -> Result<oneshot::Receiver<Turn>, lift_types::RefusalReason> {
        let (tx, rx) = oneshot::channel();
        let mut waiting = self.queue.lock();
        let ticket = item.ticket;
        waiting.queue.push(time::Instant::now(), item)?;
        waiting.turns.insert(ticket, tx);
        self.waiting.fetch_add(1, atomic::Ordering::SeqCst);
        self.grant(&mut waiting);
        Ok(rx)
    }

    fn grant(self: &sync::Arc<Self>, waiting: &mut Waiting) {
        while self.waiting.load(atomic::Ordering::SeqCst) > 0 && self.try_take() {
            if !self.grant_next(waiting) {
                self.in_progress.fetch_sub(1, atomic::Ordering::SeqCst);
            }
        }
    }

    /// Gives the place that was taken to the next request; `false` where it did not want it.
    fn grant_next(self: &sync::Arc<Self>, waiting: &mut Waiting) -> bool {
        let Some(turn) = waiting.queue.pop(time::Instant::now()) else {
            return false;
        };
        self.waiting.fetch_sub(1, atomic::Ordering::SeqCst);
        let (ticket, is_late) = match turn {
            lift_route::Dequeued::Admitted { ticket } => (ticket, false),
            lift_route::Dequeued::Expired { ticket } => (ticket, true),
        };
        let Some(tx) = waiting.turns.swap_remove(&ticket) else {
            return false;
        };
        if is_late {
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

    fn try_take(&self) -> bool {
        let order = atomic::Ordering::SeqCst;
        let add = |taken| (taken < self.capacity).then_some(taken + 1);
        self.in_progress.fetch_update(order, order, add).is_ok()
    }
}
