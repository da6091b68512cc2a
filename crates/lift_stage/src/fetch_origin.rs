//! What a transfer does when the origin goes away and comes back.

use std::{sync, time};

use sync::atomic;

use crate::{fetch, stage_error};

impl fetch::Fetch {
    /// Starts to probe the origin if it is away already.
    pub(crate) fn start_with_origin(self: &sync::Arc<Self>) {
        if !self.shared.origin_monitor.answers() {
            self.wait_for_origin();
        }
    }

    /// Takes in that a read from the origin has failed.
    pub(crate) fn on_origin_failure(self: &sync::Arc<Self>, error: &stage_error::StageError) {
        if *error == stage_error::StageError::Dropped {
            let is_dropped = &self.staged.is_dropped;
            is_dropped.store(true, atomic::Ordering::Relaxed);
        }
        // An origin that has dropped the version answers.
        let patience = self.shared.link_patience();
        if *error != stage_error::StageError::Dropped
            && self.shared.origin_monitor.record_failure(patience)
        {
            self.wait_for_origin();
        }
    }

    /// Finds out whether the origin is away if a read takes long.
    pub(crate) fn check_origin(self: &sync::Arc<Self>) {
        if !self.shared.origin_monitor.answers() {
            return;
        }
        let fetch = sync::Arc::clone(self);
        let checking = async move {
            let monitor = &fetch.shared.origin_monitor;
            let is_reached = monitor.check_reached(&fetch.shared, fetch.origin).await;
            if is_reached == Some(false) {
                fetch.on_origin_failure(&stage_error::StageError::Timeout);
            }
        };
        tokio::spawn(self.stop.clone().run_until_cancelled_owned(checking));
    }

    fn wait_for_origin(self: &sync::Arc<Self>) {
        self.step(lift_transfer::DownloadEvent::OriginAway);
        let fetch = sync::Arc::clone(self);
        let waiting = async move {
            let monitor = &fetch.shared.origin_monitor;
            let away_for = monitor.wait_until_back(&fetch.shared, fetch.origin).await;
            fetch.on_origin_back(away_for);
        };
        tokio::spawn(self.stop.clone().run_until_cancelled_owned(waiting));
    }

    fn on_origin_back(self: &sync::Arc<Self>, away_for: time::Duration) {
        if away_for >= lift_transfer::MIN_ORIGIN_ABSENCE {
            // Pieces whose reads have begun before the absence are read again.
            let reads = std::mem::replace(&mut *self.reads.lock(), self.stop.child_token());
            reads.cancel();
        }
        self.step(lift_transfer::DownloadEvent::OriginBack { away_for });
    }
}
