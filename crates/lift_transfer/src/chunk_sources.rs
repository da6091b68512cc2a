//! Who can send which chunk to a download.

use std::time;

use crate::{download_peer, home_group, origin_turns, source, upstream};

/// Time for which a refused chunk is left to others, who will soon pass it on.
const REFUSED_PAUSE: time::Duration = time::Duration::from_millis(30);

/// Upstream of a home group, and since when there is no connection to it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Home {
    Origin,
    Peer {
        host: lift_types::HostId,
        lost_since: Option<time::Instant>,
    },
}

/// Agents, home groups and the origin as sources of one download.
#[derive(Debug)]
pub(crate) struct ChunkSources {
    region: lift_types::RegionId,
    chunks: usize,
    pub(crate) peers: indexmap::IndexMap<lift_types::HostId, download_peer::DownloadPeer>,
    /// Number of neighbours that hold each chunk.
    pub(crate) holders: Vec<u16>,
    pub(crate) homes: indexmap::IndexMap<lift_types::KeyGroup, Home>,
    pub(crate) origin: download_peer::DownloadPeer,
    /// What the transfer saves.
    pub(crate) goal: lift_types::TransferGoal,
    /// Turns of reads from the origin, where its rate is known.
    pub(crate) turns: Option<origin_turns::OriginTurns>,
    /// Chunks that were refused, and until when others are requested in their place.
    pub(crate) refused: indexmap::IndexMap<lift_types::ChunkIndex, time::Instant>,
    /// Whether live requests are in progress, so that the window is smaller.
    pub(crate) yielding: bool,
    /// Share of the window that is used, in percent.
    pub(crate) window_percent: u32,
    /// Requests in progress to agents.
    pub(crate) peers_in_flight: usize,
}

impl ChunkSources {
    pub(crate) fn new(region: lift_types::RegionId, chunks: usize) -> Self {
        Self {
            region,
            chunks,
            peers: indexmap::IndexMap::new(),
            holders: vec![0; chunks],
            homes: indexmap::IndexMap::new(),
            origin: download_peer::DownloadPeer::new(0),
            goal: lift_types::TransferGoal::Origin,
            turns: None,
            refused: indexmap::IndexMap::new(),
            yielding: false,
            window_percent: 100,
            peers_in_flight: 0,
        }
    }

    pub(crate) fn set_home_groups(&mut self, now: time::Instant, groups: &[home_group::HomeGroup]) {
        let homes = groups.iter().map(|group| {
            let home = match &group.upstream {
                upstream::Upstream::Origin => Home::Origin,
                upstream::Upstream::Peer(peer) => self.home_at(now, group.group, peer.place.host),
            };
            (group.group, home)
        });
        self.homes = homes.collect();
    }

    fn home_at(
        &self,
        now: time::Instant,
        group: lift_types::KeyGroup,
        upstream: lift_types::HostId,
    ) -> Home {
        let lost_since = match self.homes.get(&group) {
            Some(Home::Peer { host, lost_since }) if *host == upstream => *lost_since,
            _ => {
                let told = self.peers.get(&upstream).is_some_and(|peer| peer.told);
                (!told).then_some(now)
            }
        };
        Home::Peer {
            host: upstream,
            lost_since,
        }
    }

    pub(crate) fn peer_up(&mut self, place: &lift_types::Place) {
        self.forget(place.host);
        let mut peer = download_peer::DownloadPeer::new(self.chunks);
        peer.is_neighbour = place.region == self.region;
        self.peers.insert(place.host, peer);
    }

    pub(crate) fn peer_down(&mut self, now: time::Instant, host: lift_types::HostId) {
        self.forget(host);
        self.set_lost(host, Some(now));
    }

    fn set_lost(&mut self, lost: lift_types::HostId, since: Option<time::Instant>) {
        for home in self.homes.values_mut() {
            match home {
                Home::Peer { host, lost_since } if *host == lost => {
                    *lost_since = lost_since.and(since).or(since);
                }
                _ => {}
            }
        }
    }

    fn forget(&mut self, host: lift_types::HostId) {
        let Some(peer) = self.peers.swap_remove(&host) else {
            return;
        };
        self.peers_in_flight -= peer.in_flight;
        if !peer.is_neighbour {
            return;
        }
        for (count, have) in self.holders.iter_mut().zip(&peer.have) {
            *count -= u16::from(*have);
        }
    }

    pub(crate) fn have(&mut self, host: lift_types::HostId, chunks: &[lift_types::ChunkIndex]) {
        // An agent that says what it holds fetches this version too; one in a region where
        // another version is wanted never does.
        self.set_lost(host, None);
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        peer.told = true;
        for chunk in chunks {
            let Some(have) = peer.have.get_mut(*chunk as usize) else {
                continue;
            };
            let is_new = !std::mem::replace(have, true);
            self.holders[*chunk as usize] += u16::from(is_new && peer.is_neighbour);
        }
    }

    pub(crate) fn have_not(&mut self, host: lift_types::HostId, chunk: lift_types::ChunkIndex) {
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        let Some(have) = peer.have.get_mut(chunk as usize) else {
            return;
        };
        let was = std::mem::replace(have, false);
        self.holders[chunk as usize] -= u16::from(was && peer.is_neighbour);
    }

    pub(crate) fn requested(&mut self, source: source::Source) {
        let Some(peer) = self.peer(source) else {
            return;
        };
        peer.in_flight += 1;
        self.peers_in_flight += usize::from(source != source::Source::Origin);
    }

    pub(crate) fn released(&mut self, source: source::Source) {
        let Some(peer) = self.peer(source) else {
            return;
        };
        if peer.in_flight == 0 {
            return;
        }
        peer.in_flight -= 1;
        self.peers_in_flight -= usize::from(source != source::Source::Origin);
    }

    pub(crate) fn succeeded(&mut self, source: source::Source) {
        if let Some(peer) = self.peer(source) {
            peer.succeed();
        }
    }

    pub(crate) fn busy(
        &mut self,
        now: time::Instant,
        chunk: lift_types::ChunkIndex,
        source: source::Source,
        retry_after: Option<time::Duration>,
    ) {
        self.refused.insert(chunk, now + REFUSED_PAUSE);
        if let Some(peer) = self.peer(source) {
            peer.pause_busy(now, retry_after);
        }
    }

    pub(crate) fn fault(&mut self, now: time::Instant, source: source::Source) {
        match source {
            source::Source::Origin => self.origin.pause_origin(now),
            source::Source::Peer(host) => {
                if let Some(peer) = self.peers.get_mut(&host) {
                    peer.pause_fault(now);
                }
            }
        }
    }

    fn peer(&mut self, source: source::Source) -> Option<&mut download_peer::DownloadPeer> {
        match source {
            source::Source::Origin => Some(&mut self.origin),
            source::Source::Peer(host) => self.peers.get_mut(&host),
        }
    }
}
