//! State machine that fetches one version on one agent.

use std::{sync, time};

use crate::{
    chunk_sources, download_action, download_config, download_event, origin_schedule,
    pending_requests, source, swarm_view,
};

/// Random number generator that breaks ties among equally rare chunks and equally good sources.
pub(crate) type Rng<'a> = &'a mut dyn rand::Rng;

/// Decides which chunks of one version to request, and from which sources.
///
/// The rarest chunk in the region is requested first, so that every chunk soon has several
/// holders and no uploader is idle because it has no chunk that others lack. A chunk that a
/// neighbour in the region holds comes only from neighbours. Any other chunk is requested only
/// by the home host of its group, from the upstream, so that each chunk crosses a region link
/// once. See `docs/decisions/chunk-exchange.md`.
#[derive(Debug)]
pub struct Download {
    pub(crate) manifest: sync::Arc<lift_types::Manifest>,
    pub(crate) cfg: download_config::DownloadConfig,
    pub(crate) held: Vec<bool>,
    held_count: usize,
    /// Chunks that are neither held nor requested yet.
    needed: indexmap::IndexSet<lift_types::ChunkIndex>,
    pub(crate) pending: pending_requests::PendingRequests,
    pub(crate) sources: chunk_sources::ChunkSources,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Fetching,
    Complete,
    Stopped,
}

impl Download {
    /// Creates a download of `manifest` for the agent at `location`. The caller reports chunks that
    /// are already in the store with [`download_event::DownloadEvent::Held`].
    pub fn new(
        location: &lift_types::Location,
        manifest: sync::Arc<lift_types::Manifest>,
        cfg: download_config::DownloadConfig,
    ) -> Self {
        let count = manifest.chunks.len();
        Self {
            held: vec![false; count],
            held_count: 0,
            needed: (0..count as lift_types::ChunkIndex).collect(),
            pending: pending_requests::PendingRequests::default(),
            sources: chunk_sources::ChunkSources::new(location.region.clone(), count),
            state: State::Fetching,
            manifest,
            cfg,
        }
    }

    /// Handles an event at time `now` and returns the actions to carry out. A stopped download
    /// ignores all events.
    pub fn step(
        &mut self,
        now: time::Instant,
        event: download_event::DownloadEvent,
        rng: Rng<'_>,
    ) -> Vec<download_action::DownloadAction> {
        let mut actions = Vec::new();
        if self.state == State::Stopped {
            return actions;
        }
        self.apply(now, event, &mut actions);
        if self.state == State::Fetching {
            self.request_chunks(now, rng, &mut actions);
        }
        actions
    }

    /// Returns the manifest of the version that is fetched.
    pub fn manifest(&self) -> &sync::Arc<lift_types::Manifest> {
        &self.manifest
    }

    /// Returns the number of chunks that are held.
    pub fn held_count(&self) -> usize {
        self.held_count
    }

    /// Returns the number of chunks that neither this agent nor any connected one holds.
    pub fn without_holder_count(&self) -> usize {
        let missing = (0..self.held.len()).filter(|i| !self.held[*i]);
        missing.filter(|i| !self.sources.is_seen(*i)).count()
    }

    /// Returns whether all chunks are held.
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Returns the indices of the chunks that are held.
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
            Event::PeerUp { location } => {
                self.remove_peer(now, location.host);
                self.sources.add_peer(&location);
            }
            Event::PeerDown { host } => self.remove_peer(now, host),
            Event::Have { host, chunks } => self.sources.add_announced(host, &chunks),
            Event::Held { chunk } => self.mark_held(chunk, actions),
            Event::Arrived { chunk, source } => self.on_arrived(now, chunk, source, actions),
            Event::Corrupt { chunk, source } => {
                self.fail_request(chunk, source);
                self.sources.record_fault(now, source);
            }
            Event::Refused {
                chunk,
                source,
                retry_after,
            } => {
                self.fail_request(chunk, source);
                self.sources.record_refusal(now, chunk, source, retry_after);
            }
            Event::Missing { chunk, host } => {
                self.fail_request(chunk, source::Source::Peer(host));
                self.sources.remove_announced(host, chunk);
            }
            Event::WeightsCorrupt | Event::Superseded => self.stop(actions),
            Event::OriginAway => self.sources.is_origin_away = true,
            Event::OriginBack { away_for } => self.on_origin_back(now, away_for, actions),
            Event::TrafficShare { percent } => self.sources.window_percent = percent.min(100),
            Event::Tick { live } => {
                self.sources.has_live_requests = live > 0;
                self.expire_requests(now, actions);
            }
        }
    }

    fn set_view(&mut self, now: time::Instant, view: &swarm_view::SwarmView) {
        if let (None, Some(rate)) = (&self.sources.origin_schedule, self.cfg.origin_rate) {
            let size = self.manifest.chunk_size;
            let schedule = origin_schedule::OriginSchedule::new(now, &self.held, size, rate);
            self.sources.origin_schedule = Some(schedule);
        }
        self.sources.goal = view.goal;
        self.sources.set_home_groups(now, &view.home_groups);
    }

    fn remove_peer(&mut self, now: time::Instant, host: lift_types::HostId) {
        self.sources.disconnect_peer(now, host);
        for chunk in self.pending.remove_source(source::Source::Peer(host)) {
            self.mark_needed(chunk);
        }
    }

    fn on_arrived(
        &mut self,
        now: time::Instant,
        chunk: lift_types::ChunkIndex,
        source: source::Source,
        actions: &mut Vec<download_action::DownloadAction>,
    ) {
        if self.pending.remove_answered(chunk, source, now) {
            self.sources.remove_in_flight(source);
        }
        self.sources.record_success(source);
        self.mark_held(chunk, actions);
    }

    fn mark_held(
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
        self.needed.swap_remove(&chunk);
        for source in self.pending.remove_chunk(chunk) {
            self.sources.remove_in_flight(source);
            actions.push(download_action::DownloadAction::Cancel { chunk, source });
        }
        if self.held_count == self.held.len() {
            self.state = State::Complete;
            actions.push(download_action::DownloadAction::VerifyWeights);
        }
    }

    fn fail_request(&mut self, chunk: lift_types::ChunkIndex, source: source::Source) {
        if !self.pending.remove_failed(chunk, source) {
            return;
        }
        self.sources.remove_in_flight(source);
        self.mark_needed(chunk);
    }

    /// Makes a chunk eligible for requests again, unless it is held or still requested.
    pub(crate) fn mark_needed(&mut self, chunk: lift_types::ChunkIndex) {
        if !self.held[chunk as usize] && !self.pending.contains(chunk) {
            self.needed.insert(chunk);
        }
    }

    fn stop(&mut self, actions: &mut Vec<download_action::DownloadAction>) {
        self.state = State::Stopped;
        for (chunk, source) in self.pending.take_all() {
            actions.push(download_action::DownloadAction::Cancel { chunk, source });
        }
    }

    fn expire_requests(
        &mut self,
        now: time::Instant,
        actions: &mut Vec<download_action::DownloadAction>,
    ) {
        let expired =
            self.pending
                .remove_expired(now, self.cfg.first_timeout, self.cfg.min_timeout);
        for (chunk, source) in expired {
            self.sources.remove_in_flight(source);
            self.sources.record_fault(now, source);
            self.mark_needed(chunk);
            actions.push(download_action::DownloadAction::Cancel { chunk, source });
        }
    }

    fn request_chunks(
        &mut self,
        now: time::Instant,
        rng: Rng<'_>,
        actions: &mut Vec<download_action::DownloadAction>,
    ) {
        let manifest = &self.manifest;
        let group_of = |chunk| manifest.key_group(chunk);
        let chosen = self
            .sources
            .choose_requests(now, &self.cfg, &self.needed, &group_of, rng);
        for (chunk, source) in chosen {
            self.needed.swap_remove(&chunk);
            self.start_request(now, chunk, source, actions);
        }
        if self.needed.is_empty() {
            self.hedge_requests(now, rng, actions);
        }
    }

    /// Requests late chunks a second time once every missing chunk is requested. Near the end
    /// of a download one slow source would otherwise delay the entire version.
    fn hedge_requests(
        &mut self,
        now: time::Instant,
        rng: Rng<'_>,
        actions: &mut Vec<download_action::DownloadAction>,
    ) {
        for (chunk, first) in self.pending.late_requests(now) {
            if let Some(source) = self.sources.choose_hedge(now, &self.cfg, chunk, first, rng) {
                self.start_request(now, chunk, source, actions);
            }
        }
    }

    fn start_request(
        &mut self,
        now: time::Instant,
        chunk: lift_types::ChunkIndex,
        source: source::Source,
        actions: &mut Vec<download_action::DownloadAction>,
    ) {
        self.pending.insert(now, chunk, source);
        actions.push(download_action::DownloadAction::Request { chunk, source });
    }
}
