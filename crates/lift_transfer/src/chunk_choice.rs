//! Selection of the next chunks to request and of their sources.

use std::time;

use rand::RngExt as _;

use crate::{chunk_sources, download, download_config, download_peer, source};

/// Maximum number of needed chunks that one selection examines. It bounds the work for versions
/// with many chunks; a random subset serves as well as all of them.
const SCAN_LIMIT: usize = 1_024;

/// Number of faults of an upstream after which its groups are read from the origin.
const MAX_UPSTREAM_FAULTS: u32 = 3;

/// A chunk and the source to request it from.
type ChosenRequest = (lift_types::ChunkIndex, source::Source);

impl chunk_sources::ChunkSources {
    /// Chooses requests for needed chunks, rarest first, as far as the windows allow, and
    /// counts them as in flight.
    pub(crate) fn choose_requests(
        &mut self,
        now: time::Instant,
        cfg: &download_config::DownloadConfig,
        needed: &indexmap::IndexSet<lift_types::ChunkIndex>,
        group_of: &dyn Fn(lift_types::ChunkIndex) -> lift_types::KeyGroup,
        rng: download::Rng<'_>,
    ) -> Vec<ChosenRequest> {
        let mut chosen = Vec::new();
        self.refused.retain(|_, until| *until > now);
        if needed.is_empty() || self.is_full(cfg) {
            return chosen;
        }
        let start = rng.random_range(0..needed.len());
        let mut ranked: Vec<_> = (0..needed.len().min(SCAN_LIMIT))
            .filter_map(|i| needed.get_index((start + i) % needed.len()))
            .filter(|chunk| !self.refused.contains_key(*chunk))
            .map(|chunk| (self.rarity(*chunk), rng.random::<u32>(), *chunk))
            .collect();
        ranked.sort_unstable();
        for (_, _, chunk) in ranked {
            if self.is_full(cfg) {
                break;
            }
            if let Some(source) = self.choose_source(now, cfg, chunk, group_of(chunk), rng) {
                self.add_in_flight(source);
                chosen.push((chunk, source));
            }
        }
        chosen
    }

    /// Chooses another neighbour for a chunk that is late and counts the request as in flight.
    pub(crate) fn choose_hedge(
        &mut self,
        now: time::Instant,
        cfg: &download_config::DownloadConfig,
        chunk: lift_types::ChunkIndex,
        first: source::Source,
        rng: download::Rng<'_>,
    ) -> Option<source::Source> {
        if self.is_peer_window_full(cfg) {
            return None;
        }
        let source = self.choose_neighbour(now, cfg, chunk, Some(first), rng)?;
        self.add_in_flight(source);
        Some(source)
    }

    /// Returns whether, under the goal `Time`, the upstream still lacks the chunk although the
    /// origin link has spare capacity again. The chunk is then read from the origin a second
    /// time.
    fn is_overdue(
        &self,
        now: time::Instant,
        upstream: lift_types::HostId,
        chunk: lift_types::ChunkIndex,
    ) -> bool {
        let has = |peer: &download_peer::DownloadPeer| peer.have[chunk as usize];
        self.goal == lift_types::TransferGoal::Time
            && self
                .origin_schedule
                .as_ref()
                .is_some_and(|schedule| schedule.is_over(now))
            && !self.peers.get(&upstream).is_some_and(has)
    }

    /// Returns whether no more requests to agents may be started. The window is halved while
    /// live requests are in progress, so that their responses queue behind less chunk traffic
    /// on the inbound link.
    fn is_peer_window_full(&self, cfg: &download_config::DownloadConfig) -> bool {
        let window = if self.has_live_requests {
            cfg.window.div_ceil(2)
        } else {
            cfg.window
        };
        let window = window * self.window_percent as usize / 100;
        self.peers_in_flight >= window.max(1)
    }

    /// Returns the rank of a chunk by its number of holders, grouped by powers of two. With exact
    /// counts all agents would request the same few chunks at the same time.
    fn rarity(&self, chunk: lift_types::ChunkIndex) -> u32 {
        u16::BITS - self.holders[chunk as usize].leading_zeros()
    }

    fn is_full(&self, cfg: &download_config::DownloadConfig) -> bool {
        self.is_peer_window_full(cfg) && self.origin.in_flight >= cfg.origin_window
    }

    fn choose_source(
        &self,
        now: time::Instant,
        cfg: &download_config::DownloadConfig,
        chunk: lift_types::ChunkIndex,
        group: lift_types::KeyGroup,
        rng: download::Rng<'_>,
    ) -> Option<source::Source> {
        if self.holders[chunk as usize] > 0 {
            return self.choose_neighbour(now, cfg, chunk, None, rng);
        }
        match self.upstream_source(now, cfg, chunk, group)? {
            source::Source::Origin => {
                let schedule = self.origin_schedule.as_ref();
                let is_ready = !self.is_origin_away
                    && self.origin.is_ready(now, cfg.origin_window)
                    && schedule.is_none_or(|schedule| schedule.is_due(now, chunk));
                is_ready.then_some(source::Source::Origin)
            }
            source::Source::Peer(host) => {
                let peer = self.peers.get(&host)?;
                let is_ready = !self.is_peer_window_full(cfg)
                    && peer.have[chunk as usize]
                    && peer.is_ready(now, cfg.per_peer);
                is_ready.then_some(source::Source::Peer(host))
            }
        }
    }

    /// Returns the neighbour that holds the chunk and has the fewest faults, then the fewest
    /// requests from this agent. Ties are broken at random.
    fn choose_neighbour(
        &self,
        now: time::Instant,
        cfg: &download_config::DownloadConfig,
        chunk: lift_types::ChunkIndex,
        except: Option<source::Source>,
        rng: download::Rng<'_>,
    ) -> Option<source::Source> {
        if self.is_peer_window_full(cfg) {
            return None;
        }
        let holders = self.peers.iter().filter(|(host, peer)| {
            peer.is_neighbour
                && peer.have[chunk as usize]
                && peer.is_ready(now, cfg.per_peer)
                && except != Some(source::Source::Peer(**host))
        });
        holders
            .min_by_key(|(_, peer)| (peer.faults, peer.in_flight, rng.random::<u32>()))
            .map(|(host, _)| source::Source::Peer(*host))
    }

    /// Returns the source of a chunk of a home group: its upstream, or the origin if the upstream
    /// is lost for too long or fails repeatedly, or if the chunk is overdue. Returns `None` for
    /// other groups.
    fn upstream_source(
        &self,
        now: time::Instant,
        cfg: &download_config::DownloadConfig,
        chunk: lift_types::ChunkIndex,
        group: lift_types::KeyGroup,
    ) -> Option<source::Source> {
        let chunk_sources::UpstreamState::Peer { host, lost_since } = self.upstreams.get(&group)?
        else {
            return Some(source::Source::Origin);
        };
        let is_lost = lost_since
            .is_some_and(|since| now.saturating_duration_since(since) >= cfg.upstream_timeout);
        let faults = self.peers.get(host).map_or(0, |peer| peer.faults);
        if is_lost || faults >= MAX_UPSTREAM_FAULTS || self.is_overdue(now, *host, chunk) {
            return Some(source::Source::Origin);
        }
        Some(source::Source::Peer(*host))
    }
}
