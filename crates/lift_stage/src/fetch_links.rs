//! Connections to other agents.

use std::sync;

use tokio::sync::mpsc;

use crate::{fetch, piece_link};

/// The agents that are asked for pieces, and what they are asked for.
#[derive(Debug, Default)]
pub(crate) struct FetchLinks {
    links: indexmap::IndexMap<lift_types::HostId, Link>,
}

#[derive(Debug)]
struct Link {
    incarnation: lift_types::Incarnation,
    queue: mpsc::UnboundedSender<lift_types::ChunkIndex>,
    _task: tokio_util::task::AbortOnDropHandle<()>,
}

impl FetchLinks {
    /// Connects to the agents of all `views` and drops connections to others.
    pub(crate) fn set(
        &mut self,
        fetch: &sync::Arc<fetch::Fetch>,
        views: &[&lift_transfer::SwarmView],
    ) -> Vec<lift_types::HostId> {
        let groups = views.iter().flat_map(|view| &view.home_groups);
        let upstreams = groups.filter_map(|g| match &g.upstream {
            lift_transfer::Upstream::Peer(peer) => Some(peer),
            lift_transfer::Upstream::Origin => None,
        });
        let neighbours = views.iter().flat_map(|view| &view.neighbours);
        let wanted: indexmap::IndexMap<_, _> = neighbours
            .chain(upstreams)
            .map(|peer| (peer.location.host, peer))
            .collect();
        let is_gone = |host: &lift_types::HostId, link: &Link| {
            let peer = wanted.get(host);
            peer.is_none_or(|peer| peer.incarnation != link.incarnation)
        };
        let gone: Vec<_> = self
            .links
            .iter()
            .filter(|(host, link)| is_gone(host, link))
            .map(|(host, _)| *host)
            .collect();
        for host in &gone {
            self.links.swap_remove(host);
        }
        for (host, peer) in wanted {
            if !self.links.contains_key(&host) {
                let (queue, asked) = mpsc::unbounded_channel();
                let task = piece_link::run(sync::Arc::clone(fetch), peer.clone(), asked);
                let link = Link {
                    incarnation: peer.incarnation,
                    queue,
                    _task: tokio_util::task::AbortOnDropHandle::new(tokio::spawn(task)),
                };
                self.links.insert(host, link);
            }
        }
        gone
    }

    /// Asks an agent for a piece. Nothing is asked without a connection; the request then
    /// ends with the next one that is lost.
    pub(crate) fn ask(&self, host: lift_types::HostId, index: lift_types::ChunkIndex) {
        if let Some(link) = self.links.get(&host) {
            let _ = link.queue.send(index);
        }
    }

    /// Drops all connections.
    pub(crate) fn clear(&mut self) {
        self.links.clear();
    }
}
