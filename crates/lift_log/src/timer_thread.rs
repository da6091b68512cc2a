//! The thread that reports the passing of time.

use std::time;

use crate::node;

/// Lets the thread wait and be stopped.
#[derive(Debug, Default)]
pub(crate) struct Timer {
    stopped: parking_lot::Mutex<bool>,
    changed: parking_lot::Condvar,
}

impl Timer {
    /// Ends the wait for good.
    pub(crate) fn stop(&self) {
        *self.stopped.lock() = true;
        self.changed.notify_all();
    }

    /// Waits for `limit`. Returns whether the thread goes on. It takes no point in time: after
    /// the host was suspended those of `lift_clock` are ahead of the clock of the wait, which
    /// would last longer by the whole suspension, again and again.
    fn wait_for(&self, limit: time::Duration) -> bool {
        let mut stopped = self.stopped.lock();
        if !*stopped {
            self.changed.wait_for(&mut stopped, limit);
        }
        !*stopped
    }
}

/// Reports each deadline of the replica until the timer is stopped.
pub(crate) fn run(node: &node::Node) {
    // The next deadline can come closer while the thread waits, when the member becomes
    // leader. Half a heartbeat keeps its first heartbeats in time.
    let max_wait = node.timing.heartbeat_interval / 2;
    loop {
        let deadline = node.replica.lock().deadline();
        let left = deadline.saturating_duration_since(lift_clock::now());
        if !node.timer.wait_for(left.min(max_wait)) {
            return;
        }
        if lift_clock::now() >= deadline {
            node.step(lift_consensus::Event::Tick);
        }
    }
}
