//! Registration of a request on a link.

use std::sync;

use crate::{agent_link, mailbox};

/// Registration of a request that waits for messages on a link. Dropping it removes the
/// request from the link.
#[derive(Debug)]
pub(crate) struct Registration {
    pub(crate) id: lift_types::RequestId,
    pub(crate) link: sync::Arc<agent_link::AgentLink>,
    pub(crate) mailbox: sync::Arc<mailbox::Mailbox>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.link.deregister(self.id);
    }
}
