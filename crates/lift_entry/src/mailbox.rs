//! Queue of link events for one request.

use std::collections;

use crate::link_event;

/// Queue between the reader of a link and one request. Its length is bounded by the credit that
/// limits what the agent may send. A channel would allocate a block of 32 messages for each
/// request, but most answers have three.
#[derive(Debug, Default)]
pub(crate) struct Mailbox {
    events: parking_lot::Mutex<collections::VecDeque<link_event::LinkEvent>>,
    event_added: tokio::sync::Notify,
}

impl Mailbox {
    /// Adds an event and wakes the task that waits for it.
    pub(crate) fn push(&self, event: link_event::LinkEvent) {
        self.events.lock().push_back(event);
        self.event_added.notify_one();
    }

    /// Removes and returns the next event, or `None` if the queue is empty.
    pub(crate) fn try_recv(&self) -> Option<link_event::LinkEvent> {
        self.events.lock().pop_front()
    }

    /// Waits for the next event. Only one task may wait at a time.
    pub(crate) async fn recv(&self) -> link_event::LinkEvent {
        loop {
            if let Some(event) = self.try_recv() {
                return event;
            }
            self.event_added.notified().await;
        }
    }
}
