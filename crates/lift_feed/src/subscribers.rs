//! Connected nodes.

use std::sync;

use sync::atomic;

use crate::{member_message, node_card, node_kind, subscriber};

/// Number of shards. More than the worker threads, so that they seldom meet.
const SHARDS: usize = 8;

/// Number of one connection.
pub(crate) type ConnectionId = u64;

/// The connected nodes, in shards by connection.
#[derive(Debug)]
pub(crate) struct Subscribers {
    shards: lift_shard::Shards<indexmap::IndexMap<ConnectionId, subscriber::Subscriber>>,
    next: atomic::AtomicU64,
}

impl Subscribers {
    pub(crate) fn new() -> Self {
        Self {
            shards: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
            next: atomic::AtomicU64::new(0),
        }
    }

    /// Adds a node.
    pub(crate) fn insert(&self, subscriber: subscriber::Subscriber) -> ConnectionId {
        let id = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        self.shards.with(&id, |nodes| nodes.insert(id, subscriber));
        id
    }

    /// Removes a connection. Returns whether it was the last one of its host.
    pub(crate) fn remove(&self, id: ConnectionId) -> bool {
        let Some(gone) = self.shards.with(&id, |nodes| nodes.swap_remove(&id)) else {
            return false;
        };
        let host = gone.card.location.host;
        self.shards.fold(true, |last, nodes| {
            last && nodes.values().all(|s| s.card.location.host != host)
        })
    }

    /// Queues a message for each node that `wanted` picks. A node whose queue is full is
    /// disconnected; it connects again and gets the whole state.
    pub(crate) fn publish(
        &self,
        message: member_message::MemberMessage,
        wanted: impl Fn(&node_card::NodeCard) -> bool,
    ) {
        let message = sync::Arc::new(message);
        self.shards.for_each(|nodes| {
            for node in nodes.values().filter(|node| wanted(&node.card)) {
                if node.messages.try_send(sync::Arc::clone(&message)).is_err() {
                    node.stop.cancel();
                }
            }
        });
    }

    /// The connected nodes that are no control members.
    pub(crate) fn nodes(&self) -> Vec<node_card::NodeCard> {
        let cards = self
            .shards
            .fold(indexmap::IndexMap::new(), |mut cards, nodes| {
                let served = nodes
                    .values()
                    .filter(|node| node.card.kind != node_kind::NodeKind::Control);
                cards.extend(served.map(|node| (node.card.location.host, node.card.clone())));
                cards
            });
        cards.into_values().collect()
    }
}
