//! Choice of the next chunk and its source.

use std::time;

use rand::RngExt as _;

use crate::{chunk_sources, download, download_config, download_peer, source};

/// Most wanted chunks that one choice looks at. It bounds the work for versions with many
/// chunks; a random part of them is as good as all of them.
const SCAN_LIMIT: usize = 1_024;

/// Faults of an upstream after which its groups are read from the origin.
const MAX_UPSTREAM_FAULTS: u32 = 3;

/// A chunk and where to request it.
type Chosen = (lift_types::ChunkIndex, source::Source);

impl chunk_sources::ChunkSources {
    /// Chooses requests for wanted chunks, rarest first, as far as the windows allow, and
    /// counts them as in progress.
    pub(crate) fn choose(
        &mut self,
        now: time::Instant,
        cfg: &download_config::DownloadConfig,
        wanted: &indexmap::IndexSet<lift_types::ChunkIndex>,
        group_of: &dyn Fn(lift_types::ChunkIndex) -> lift_types::KeyGroup,
        rng: download::Rng<'_>,
    ) -> Vec<Chosen> {
        let mut chosen = Vec::new();
        self.refused.retain(|_, until| *until > now);
        if wanted.is_empty() || self.is_full(cfg) {
            return chosen;
        }
        let start = rng.random_range(0..wanted.len());
        let mut ranked: Vec<_> = (0..wanted.len().min(SCAN_LIMIT))
            .filter_map(|i| wanted.get_index((start + i) % wanted.len()))
            .filter(|chunk| !self.refused.contains_key(*chunk))
            .map(|chunk| (self.rarity(*chunk), rng.random::<u32>(), *chunk))
            .collect();
        ranked.sort_unstable();
        for (_, _, chunk) in ranked {
            if self.is_full(cfg) {
                break;
            }
            if let Some(source) = self.best(now, cfg, chunk, group_of(chunk), rng) {
                self.requested(source);
                chosen.push((chunk, source));
            }
        }
        chosen
    }

    /// Another neighbour for a chunk that is late, counted as in progress.
    pub(crate) fn second(
        &mut self,
        now: time::Instant,
        cfg: &download_config::DownloadConfig,
        chunk: lift_types::ChunkIndex,
        first: source::Source,
        rng: download::Rng<'_>,
    ) -> Option<source::Source> {
        if self.is_window_full(cfg) {
            return None;
        }
        let source = self.best_neighbour(now, cfg, chunk, Some(first), rng)?;
        self.requested(source);
        Some(source)
    }

    /// Whether an upstream still lacks a chunk when the origin link has room again. Under the
    /// goal `time` the chunk is then read from the origin a second time.
    fn is_overdue(
        &self,
        now: time::Instant,
        upstream: lift_types::HostId,
        chunk: lift_types::ChunkIndex,
    ) -> bool {
        let has = |peer: &download_peer::DownloadPeer| peer.have[chunk as usize];
        self.goal == lift_types::TransferGoal::Time
            && self.turns.as_ref().is_some_and(|turns| turns.are_over(now))
            && !self.peers.get(&upstream).is_some_and(has)
    }

    /// While live requests are in progress the window is halved, so that their answers wait
    /// for less chunk traffic on the inbound link.
    fn is_window_full(&self, cfg: &download_config::DownloadConfig) -> bool {
        let window = if self.yielding {
            cfg.window.div_ceil(2)
        } else {
            cfg.window
        };
        let window = window * self.window_percent as usize / 100;
        self.peers_in_flight >= window.max(1)
    }

    /// Holders of a chunk in powers of two. Exact numbers would send all agents after the
    /// same few chunks at the same time.
    fn rarity(&self, chunk: lift_types::ChunkIndex) -> u32 {
        u16::BITS - self.holders[chunk as usize].leading_zeros()
    }

    fn is_full(&self, cfg: &download_config::DownloadConfig) -> bool {
        self.is_window_full(cfg) && self.origin.in_flight >= cfg.origin_window
    }

    fn best(
        &self,
        now: time::Instant,
        cfg: &download_config::DownloadConfig,
        chunk: lift_types::ChunkIndex,
        group: lift_types::KeyGroup,
        rng: download::Rng<'_>,
    ) -> Option<source::Source> {
        if self.holders[chunk as usize] > 0 {
            return self.best_neighbour(now, cfg, chunk, None, rng);
        }
        match self.upstream(now, cfg, chunk, group)? {
            source::Source::Origin => {
                let turns = self.turns.as_ref();
                let is_ready = self.origin.is_ready(now, cfg.origin_window)
                    && turns.is_none_or(|turns| turns.has_come(now, chunk));
                is_ready.then_some(source::Source::Origin)
            }
            source::Source::Peer(host) => {
                let peer = self.peers.get(&host)?;
                let is_ready = !self.is_window_full(cfg)
                    && peer.have[chunk as usize]
                    && peer.is_ready(now, cfg.per_peer);
                is_ready.then_some(source::Source::Peer(host))
            }
        }
    }

    /// Neighbour that holds the chunk, with the fewest faults and the fewest own requests.
    fn best_neighbour(
        &self,
        now: time::Instant,
        cfg: &download_config::DownloadConfig,
        chunk: lift_types::ChunkIndex,
        except: Option<source::Source>,
        rng: download::Rng<'_>,
    ) -> Option<source::Source> {
        if self.is_window_full(cfg) {
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

    /// Upstream of a home group. The origin takes the place of an upstream that can't be
    /// reached or fails again and again.
    fn upstream(
        &self,
        now: time::Instant,
        cfg: &download_config::DownloadConfig,
        chunk: lift_types::ChunkIndex,
        group: lift_types::KeyGroup,
    ) -> Option<source::Source> {
        let chunk_sources::Home::Peer { host, lost_since } = self.homes.get(&group)? else {
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
