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

    /// Waits until `deadline`. Returns whether the thread goes on.
    fn wait_until(&self, deadline: time::Instant) -> bool {
        let mut stopped = self.stopped.lock();
        if !*stopped {
            self.changed.wait_until(&mut stopped, deadline);
        }
        !*stopped
    }
}

/// Reports each deadline of the replica until the timer is stopped.
pub(crate) fn run(node: &node::Node) {
    // The next deadline can come closer while the thread waits, when the member becomes
    // leader. Half a heartbeat keeps its first heartbeats in time.
    let max_wait = node.timing.heartbeat / 2;
    loop {
        let deadline = node.replica.lock().deadline();
        let wake = deadline.min(lift_clock::now() + max_wait);
        if !node.timer.wait_until(wake) {
            return;
        }
        if lift_clock::now() >= deadline {
            node.step(lift_consensus::Event::Tick);
        }
    }
}
