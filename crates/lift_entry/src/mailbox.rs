//! Messages that wait for one request.

use std::collections;

use crate::link_event;

/// Queue between the reader of a link and the request that its messages belong to. Credit
/// bounds what an agent may send. A channel would allocate a block of 32 messages for each
/// request; most answers have three.
#[derive(Debug, Default)]
pub(crate) struct Mailbox {
    events: parking_lot::Mutex<collections::VecDeque<link_event::LinkEvent>>,
    arrived: tokio::sync::Notify,
}

impl Mailbox {
    /// Adds an event.
    pub(crate) fn push(&self, event: link_event::LinkEvent) {
        self.events.lock().push_back(event);
        self.arrived.notify_one();
    }

    /// Takes the next event, if one has come.
    pub(crate) fn take(&self) -> Option<link_event::LinkEvent> {
        self.events.lock().pop_front()
    }

    /// Waits for the next event. One task at a time may wait.
    pub(crate) async fn recv(&self) -> link_event::LinkEvent {
        loop {
            if let Some(event) = self.take() {
                return event;
            }
            self.arrived.notified().await;
        }
    }
}
