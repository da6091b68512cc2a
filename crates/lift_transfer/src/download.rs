//! Fetching one version at one agent.

use std::{sync, time};

use crate::{
    chunk_sources, download_action, download_config, download_event, flights, origin_turns, source,
    swarm_view,
};

/// Source of the random order among equally rare chunks.
pub(crate) type Rng<'a> = &'a mut dyn rand::Rng;

/// Decides which chunk of one version to request from whom.
///
/// The rarest chunk in the region comes first, so that every chunk soon has several holders
/// and no uploader is idle for want of chunks that others lack. Chunks of the own home
/// groups come from their upstream; all others from neighbours in the region only, so that
/// each chunk crosses a region link once. See `docs/decisions/chunk-exchange.md`.
#[derive(Debug)]
pub struct Download {
    manifest: sync::Arc<lift_types::Manifest>,
    cfg: download_config::DownloadConfig,
    held: Vec<bool>,
    held_count: usize,
    /// Chunks that are neither held nor requested.
    wanted: indexmap::IndexSet<lift_types::ChunkIndex>,
    flights: flights::Flights,
    sources: chunk_sources::ChunkSources,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Fetching,
    Whole,
    Stopped,
}

impl Download {
    /// Starts a download of `manifest` at `place`. Chunks that the store holds already are
    /// announced by [`download_event::DownloadEvent::Held`].
    pub fn new(
        place: &lift_types::Place,
        manifest: sync::Arc<lift_types::Manifest>,
        cfg: download_config::DownloadConfig,
    ) -> Self {
        let count = manifest.chunks.len();
        Self {
            held: vec![false; count],
            held_count: 0,
            wanted: (0..count as lift_types::ChunkIndex).collect(),
            flights: flights::Flights::default(),
            sources: chunk_sources::ChunkSources::new(place.region.clone(), count),
            stage: Stage::Fetching,
            manifest,
            cfg,
        }
    }

    /// Takes an event at time `now` and returns what to do.
    pub fn step(
        &mut self,
        now: time::Instant,
        event: download_event::DownloadEvent,
        rng: Rng<'_>,
    ) -> Vec<download_action::DownloadAction> {
        let mut actions = Vec::new();
        if self.stage == Stage::Stopped {
            return actions;
        }
        self.apply(now, event, &mut actions);
        if self.stage == Stage::Fetching {
            self.request(now, rng, &mut actions);
        }
        actions
    }

    /// Version that is fetched.
    pub fn manifest(&self) -> &sync::Arc<lift_types::Manifest> {
        &self.manifest
    }

    /// Number of chunks that are held.
    pub fn held(&self) -> usize {
        self.held_count
    }

    /// Whether all chunks are held.
    pub fn is_whole(&self) -> bool {
        self.stage == Stage::Whole
    }

    /// Positions of the chunks that are held.
    pub fn held_chunks(&self) -> impl Iterator<Item = lift_types::ChunkIndex> + '_ {
        let held = self.held.iter().enumerate().filter(|(_, held)| **held);
        held.map(|(i, _)| i as lift_types::ChunkIndex)
    }

    fn apply(
        &mut self,
        now: time::Instant,
        event: download_event::DownloadEvent,
        actions: &mut Vec<download_action::DownloadAction>,
    ) {
        use download_event::DownloadEvent as Event;
        match event {
            Event::View(view) => self.set_view(now, &view),
            Event::PeerUp { place } => {
                self.lose_peer(now, place.host);
                self.sources.peer_up(&place);
            }
            Event::PeerDown { host } => self.lose_peer(now, host),
            Event::Have { host, chunks } => self.sources.have(host, &chunks),
            Event::Held { chunk } => self.hold(chunk, actions),
            Event::Arrived { chunk, source } => self.arrive(now, chunk, source, actions),
            Event::Corrupt { chunk, source } => {
                self.end_flight(chunk, source);
                self.sources.fault(now, source);
            }
            Event::Refused {
                chunk,
                source,
                retry_after,
            } => {
                self.end_flight(chunk, source);
                self.sources.busy(now, chunk, source, retry_after);
            }
            Event::Missing { chunk, host } => {
                self.end_flight(chunk, source::Source::Peer(host));
                self.sources.have_not(host, chunk);
            }
            Event::WholeCorrupt | Event::Superseded => self.stop(actions),
            Event::Pressure { percent } => self.sources.window_percent = percent.min(100),
            Event::Clock { live } => {
                self.sources.yielding = live > 0;
                self.expire(now, actions);
            }
        }
    }

    fn set_view(&mut self, now: time::Instant, view: &swarm_view::SwarmView) {
        if let (None, Some(rate)) = (&self.sources.turns, self.cfg.origin_rate) {
            let size = self.manifest.chunk_size;
            let turns = origin_turns::OriginTurns::new(now, &self.held, size, rate);
            self.sources.turns = Some(turns);
        }
        self.sources.goal = view.goal;
        self.sources.set_home_groups(now, &view.home_groups);
    }

    fn lose_peer(&mut self, now: time::Instant, host: lift_types::HostId) {
        self.sources.peer_down(now, host);
        for chunk in self.flights.remove_source(source::Source::Peer(host)) {
            self.want(chunk);
        }
    }

    fn arrive(
        &mut self,
        now: time::Instant,
        chunk: lift_types::ChunkIndex,
        source: source::Source,
        actions: &mut Vec<download_action::DownloadAction>,
    ) {
        if self.flights.remove(chunk, source, now) {
            self.sources.released(source);
        }
        self.sources.succeeded(source);
        self.hold(chunk, actions);
    }

    fn hold(
        &mut self,
        chunk: lift_types::ChunkIndex,
        actions: &mut Vec<download_action::DownloadAction>,
    ) {
        let Some(held) = self.held.get_mut(chunk as usize) else {
            return;
        };
        if std::mem::replace(held, true) {
            return;
        }
        self.held_count += 1;
        self.wanted.swap_remove(&chunk);
        for source in self.flights.remove_chunk(chunk) {
            self.sources.released(source);
            actions.push(download_action::DownloadAction::Cancel { chunk, source });
        }
        if self.held_count == self.held.len() {
            self.stage = Stage::Whole;
            actions.push(download_action::DownloadAction::VerifyWhole);
        }
    }

    fn end_flight(&mut self, chunk: lift_types::ChunkIndex, source: source::Source) {
        if !self.flights.remove_failed(chunk, source) {
            return;
        }
        self.sources.released(source);
        self.want(chunk);
    }

    /// Makes a chunk available for requests again, unless it is held or still requested.
    fn want(&mut self, chunk: lift_types::ChunkIndex) {
        if !self.held[chunk as usize] && !self.flights.contains(chunk) {
            self.wanted.insert(chunk);
        }
    }

    fn stop(&mut self, actions: &mut Vec<download_action::DownloadAction>) {
        self.stage = Stage::Stopped;
        for (chunk, source) in self.flights.take_all() {
            actions.push(download_action::DownloadAction::Cancel { chunk, source });
        }
    }

    fn expire(&mut self, now: time::Instant, actions: &mut Vec<download_action::DownloadAction>) {
        let expired = self
            .flights
            .expired(now, self.cfg.first_timeout, self.cfg.min_timeout);
        for (chunk, source) in expired {
            self.sources.released(source);
            self.sources.fault(now, source);
            self.want(chunk);
            actions.push(download_action::DownloadAction::Cancel { chunk, source });
        }
    }

    fn request(
        &mut self,
        now: time::Instant,
        rng: Rng<'_>,
        actions: &mut Vec<download_action::DownloadAction>,
    ) {
        let manifest = &self.manifest;
        let group_of = |chunk| manifest.key_group(chunk);
        let chosen = self
            .sources
            .choose(now, &self.cfg, &self.wanted, &group_of, rng);
        for (chunk, source) in chosen {
            self.wanted.swap_remove(&chunk);
            self.start(now, chunk, source, actions);
        }
        if self.wanted.is_empty() {
            self.hedge(now, rng, actions);
        }
    }

    /// Requests late chunks a second time near the end, where one slow source would delay
    /// the whole.
    fn hedge(
        &mut self,
        now: time::Instant,
        rng: Rng<'_>,
        actions: &mut Vec<download_action::DownloadAction>,
    ) {
        for (chunk, first) in self.flights.late(now) {
            if let Some(source) = self.sources.second(now, &self.cfg, chunk, first, rng) {
                self.start(now, chunk, source, actions);
            }
        }
    }

    fn start(
        &mut self,
        now: time::Instant,
        chunk: lift_types::ChunkIndex,
        source: source::Source,
        actions: &mut Vec<download_action::DownloadAction>,
    ) {
        self.flights.insert(now, chunk, source);
        actions.push(download_action::DownloadAction::Request { chunk, source });
    }
}
