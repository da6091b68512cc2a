//! Sources from which a download can request chunks.

use std::time;

use crate::{download_peer, home_group, origin_schedule, source, upstream};

/// Pause before a refused chunk is requested again. By then other agents that are receiving it
/// can usually serve it.
const REFUSED_PAUSE: time::Duration = time::Duration::from_millis(30);

/// Upstream of a home group, and the last time at which it was marked as lost, if it has not
/// announced its chunks since then.
#[derive(Clone, Copy, Debug)]
pub(crate) enum UpstreamState {
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
    pub(crate) upstreams: indexmap::IndexMap<lift_types::KeyGroup, UpstreamState>,
    pub(crate) origin: download_peer::DownloadPeer,
    /// Whether the transfer minimizes reads from the origin or elapsed time.
    pub(crate) goal: lift_types::TransferGoal,
    /// Whether the origin does not answer.
    pub(crate) is_origin_away: bool,
    /// Schedule of reads from the origin, if its rate is known.
    pub(crate) origin_schedule: Option<origin_schedule::OriginSchedule>,
    /// Refused chunks, and the time until which they are not requested again.
    pub(crate) refused: indexmap::IndexMap<lift_types::ChunkIndex, time::Instant>,
    /// Whether live requests are in progress, which halves the window.
    pub(crate) has_live_requests: bool,
    /// Share of the window that may be used, in percent.
    pub(crate) window_percent: u32,
    /// Number of requests in flight to agents.
    pub(crate) peers_in_flight: usize,
}

impl ChunkSources {
    pub(crate) fn new(region: lift_types::RegionId, chunks: usize) -> Self {
        Self {
            region,
            chunks,
            peers: indexmap::IndexMap::new(),
            holders: vec![0; chunks],
            upstreams: indexmap::IndexMap::new(),
            origin: download_peer::DownloadPeer::new(0),
            goal: lift_types::TransferGoal::Origin,
            is_origin_away: false,
            origin_schedule: None,
            refused: indexmap::IndexMap::new(),
            has_live_requests: false,
            window_percent: 100,
            peers_in_flight: 0,
        }
    }

    pub(crate) fn set_home_groups(&mut self, now: time::Instant, groups: &[home_group::HomeGroup]) {
        let upstreams = groups.iter().map(|group| {
            let upstream = match &group.upstream {
                upstream::Upstream::Origin => UpstreamState::Origin,
                upstream::Upstream::Peer(peer) => {
                    self.upstream_state(now, group.group, peer.location.host)
                }
            };
            (group.group, upstream)
        });
        self.upstreams = upstreams.collect();
    }

    fn upstream_state(
        &self,
        now: time::Instant,
        group: lift_types::KeyGroup,
        upstream: lift_types::HostId,
    ) -> UpstreamState {
        let lost_since = match self.upstreams.get(&group) {
            Some(UpstreamState::Peer { host, lost_since }) if *host == upstream => *lost_since,
            _ => {
                let has_announced = self
                    .peers
                    .get(&upstream)
                    .is_some_and(|peer| peer.has_announced);
                (!has_announced).then_some(now)
            }
        };
        UpstreamState::Peer {
            host: upstream,
            lost_since,
        }
    }

    pub(crate) fn add_peer(&mut self, location: &lift_types::Location) {
        self.remove_peer(location.host);
        let mut peer = download_peer::DownloadPeer::new(self.chunks);
        peer.is_neighbour = location.region == self.region;
        self.peers.insert(location.host, peer);
    }

    pub(crate) fn disconnect_peer(&mut self, now: time::Instant, host: lift_types::HostId) {
        self.remove_peer(host);
        self.set_lost_since(host, Some(now));
    }

    fn set_lost_since(&mut self, lost: lift_types::HostId, since: Option<time::Instant>) {
        for upstream in self.upstreams.values_mut() {
            match upstream {
                UpstreamState::Peer { host, lost_since } if *host == lost => {
                    *lost_since = lost_since.and(since).or(since);
                }
                _ => {}
            }
        }
    }

    fn remove_peer(&mut self, host: lift_types::HostId) {
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

    pub(crate) fn add_announced(
        &mut self,
        host: lift_types::HostId,
        chunks: &[lift_types::ChunkIndex],
    ) {
        // Not even an open connection shows that an agent fetches this version: its region may
        // have another target version. An upstream counts as lost until it announces its chunks.
        self.set_lost_since(host, None);
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        peer.has_announced = true;
        for chunk in chunks {
            let Some(have) = peer.have.get_mut(*chunk as usize) else {
                continue;
            };
            let is_new = !std::mem::replace(have, true);
            self.holders[*chunk as usize] += u16::from(is_new && peer.is_neighbour);
        }
    }

    pub(crate) fn remove_announced(
        &mut self,
        host: lift_types::HostId,
        chunk: lift_types::ChunkIndex,
    ) {
        let Some(peer) = self.peers.get_mut(&host) else {
            return;
        };
        let Some(have) = peer.have.get_mut(chunk as usize) else {
            return;
        };
        let was_held = std::mem::replace(have, false);
        self.holders[chunk as usize] -= u16::from(was_held && peer.is_neighbour);
    }

    /// Returns whether any connected agent holds the chunk.
    pub(crate) fn is_seen(&self, chunk: usize) -> bool {
        self.peers.values().any(|peer| peer.have[chunk])
    }

    pub(crate) fn add_in_flight(&mut self, source: source::Source) {
        let Some(peer) = self.peer_mut(source) else {
            return;
        };
        peer.in_flight += 1;
        self.peers_in_flight += usize::from(source != source::Source::Origin);
    }

    pub(crate) fn remove_in_flight(&mut self, source: source::Source) {
        let Some(peer) = self.peer_mut(source) else {
            return;
        };
        if peer.in_flight == 0 {
            return;
        }
        peer.in_flight -= 1;
        self.peers_in_flight -= usize::from(source != source::Source::Origin);
    }

    pub(crate) fn record_success(&mut self, source: source::Source) {
        if let Some(peer) = self.peer_mut(source) {
            peer.record_success();
        }
    }

    pub(crate) fn record_refusal(
        &mut self,
        now: time::Instant,
        chunk: lift_types::ChunkIndex,
        source: source::Source,
        retry_after: Option<time::Duration>,
    ) {
        self.refused.insert(chunk, now + REFUSED_PAUSE);
        if let Some(peer) = self.peer_mut(source) {
            peer.pause_after_refusal(now, retry_after);
        }
    }

    pub(crate) fn record_fault(&mut self, now: time::Instant, source: source::Source) {
        match source {
            source::Source::Origin => self.origin.pause_after_origin_fault(now),
            source::Source::Peer(host) => {
                if let Some(peer) = self.peers.get_mut(&host) {
                    peer.pause_after_fault(now);
                }
            }
        }
    }

    fn peer_mut(&mut self, source: source::Source) -> Option<&mut download_peer::DownloadPeer> {
        match source {
            source::Source::Origin => Some(&mut self.origin),
            source::Source::Peer(host) => self.peers.get_mut(&host),
        }
    }
}
