//! Outgoing links to the other members.

use std::{net, sync};

use tokio::sync::mpsc;

/// Messages that may wait for one link. Above it messages are dropped, as if the network had
/// lost them.
const QUEUED_MESSAGES: usize = 1_024;

/// A link that has to be opened.
#[derive(Debug)]
pub(crate) struct NewLink {
    pub(crate) to: lift_types::MemberId,
    pub(crate) address: net::SocketAddr,
    pub(crate) messages: mpsc::Receiver<lift_consensus::Message>,
}

#[derive(Debug)]
struct Link {
    address: net::SocketAddr,
    messages: mpsc::Sender<lift_consensus::Message>,
}

/// Queues of the links by member. A link ends when its queue is dropped.
#[derive(Debug)]
pub(crate) struct PeerLinks {
    id: lift_types::MemberId,
    counters: sync::Arc<lift_obs::Counters>,
    links: parking_lot::Mutex<indexmap::IndexMap<lift_types::MemberId, Link>>,
    /// Members for which links were opened last.
    members: parking_lot::Mutex<lift_consensus::MemberSet>,
    new_links: mpsc::UnboundedSender<NewLink>,
}

impl PeerLinks {
    /// Links of member `id`. Links to open are sent to `new_links`.
    pub(crate) fn new(
        id: lift_types::MemberId,
        counters: sync::Arc<lift_obs::Counters>,
        new_links: mpsc::UnboundedSender<NewLink>,
    ) -> Self {
        Self {
            id,
            counters,
            links: parking_lot::Mutex::new(indexmap::IndexMap::new()),
            members: parking_lot::Mutex::new(lift_consensus::MemberSet::new()),
            new_links,
        }
    }

    /// Queues a message, or drops it where there is no link or its queue is full.
    pub(crate) fn send(&self, message: lift_consensus::Message) {
        let links = self.links.lock();
        let Some(link) = links.get(&message.to) else {
            self.counters.increment("log.no_link");
            return;
        };
        if link.messages.try_send(message).is_err() {
            self.counters.increment("log.link_queue_full");
        }
    }

    /// Opens links to `members` and closes those to members that were removed. A link to
    /// another host stays open: a new member answers a leader that it does not know yet.
    pub(crate) fn set_members(&self, members: &lift_consensus::MemberSet) {
        let mut known = self.members.lock();
        if *known == *members {
            return;
        }
        let removed = known.iter().filter(|(id, _)| members.get(*id).is_none());
        for (id, _) in removed {
            self.links.lock().shift_remove(&id);
        }
        for (id, member) in members.iter() {
            self.open(id, member.peer);
        }
        *known = members.clone();
    }

    /// Opens a link to `address`, where there is none.
    pub(crate) fn open(&self, to: lift_types::MemberId, address: net::SocketAddr) {
        if to == self.id {
            return;
        }
        let mut links = self.links.lock();
        if links.get(&to).is_some_and(|link| link.address == address) {
            return;
        }
        let (tx, messages) = mpsc::channel(QUEUED_MESSAGES);
        links.insert(
            to,
            Link {
                address,
                messages: tx,
            },
        );
        let _ = self.new_links.send(NewLink {
            to,
            address,
            messages,
        });
    }
}
