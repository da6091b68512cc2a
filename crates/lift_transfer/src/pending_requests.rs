//! Requests in flight of a download.

use std::time;

use crate::{response_times, source};

/// Maximum number of requests for the same chunk: the first and one hedge.
const MAX_REQUESTS_PER_CHUNK: usize = 2;

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    source: source::Source,
    started: time::Instant,
}

/// Requests in flight, by chunk, with the response times of agents and of the origin.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    by_chunk: indexmap::IndexMap<lift_types::ChunkIndex, Vec<PendingRequest>>,
    peer_times: response_times::ResponseTimes,
    origin_times: response_times::ResponseTimes,
}

impl PendingRequests {
    pub(crate) fn contains(&self, chunk: lift_types::ChunkIndex) -> bool {
        self.by_chunk.contains_key(&chunk)
    }

    pub(crate) fn insert(
        &mut self,
        now: time::Instant,
        chunk: lift_types::ChunkIndex,
        source: source::Source,
    ) {
        let request = PendingRequest {
            source,
            started: now,
        };
        self.by_chunk.entry(chunk).or_default().push(request);
    }

    /// Removes an answered request and records its response time. Returns whether it was in
    /// flight.
    pub(crate) fn remove_answered(
        &mut self,
        chunk: lift_types::ChunkIndex,
        source: source::Source,
        now: time::Instant,
    ) -> bool {
        let Some(request) = self.take(chunk, source) else {
            return false;
        };
        let elapsed = now.saturating_duration_since(request.started);
        self.response_times(source).record(elapsed);
        true
    }

    /// Removes a request that was refused or got an invalid chunk. Returns whether it was in
    /// flight.
    pub(crate) fn remove_failed(
        &mut self,
        chunk: lift_types::ChunkIndex,
        source: source::Source,
    ) -> bool {
        self.take(chunk, source).is_some()
    }

    /// Removes all requests for a chunk and returns their sources.
    pub(crate) fn remove_chunk(&mut self, chunk: lift_types::ChunkIndex) -> Vec<source::Source> {
        let removed = self.by_chunk.swap_remove(&chunk).unwrap_or_default();
        removed.into_iter().map(|request| request.source).collect()
    }

    /// Removes all requests to a source and returns their chunks.
    pub(crate) fn remove_source(&mut self, source: source::Source) -> Vec<lift_types::ChunkIndex> {
        self.remove_where(|request| request.source == source)
            .into_iter()
            .map(|(chunk, _)| chunk)
            .collect()
    }

    /// Drops what is known of the response times of the origin.
    pub(crate) fn forget_origin_times(&mut self) {
        self.origin_times = response_times::ResponseTimes::default();
    }

    pub(crate) fn take_all(&mut self) -> Vec<(lift_types::ChunkIndex, source::Source)> {
        self.remove_where(|_| true)
    }

    /// Removes the requests that have timed out and returns them.
    pub(crate) fn remove_expired(
        &mut self,
        now: time::Instant,
        first_timeout: time::Duration,
        min_timeout: time::Duration,
    ) -> Vec<(lift_types::ChunkIndex, source::Source)> {
        let peer = self.peer_times.timeout(first_timeout, min_timeout);
        let origin = self.origin_times.timeout(first_timeout, min_timeout);
        let expired = self.remove_where(|request| {
            let limit = match request.source {
                source::Source::Origin => origin,
                source::Source::Peer(_) => peer,
            };
            now.saturating_duration_since(request.started) >= limit
        });
        for (_, source) in &expired {
            self.response_times(*source).record_timeout();
        }
        expired
    }

    /// Returns the chunks with a single request that takes much longer than the average response
    /// time of agents, each with the source of the request.
    pub(crate) fn late_requests(
        &self,
        now: time::Instant,
    ) -> Vec<(lift_types::ChunkIndex, source::Source)> {
        let Some(limit) = self.peer_times.hedge_after() else {
            return Vec::new();
        };
        let single = self.by_chunk.iter().filter_map(|(chunk, requests)| {
            let first = requests.first()?;
            (requests.len() < MAX_REQUESTS_PER_CHUNK).then_some((*chunk, *first))
        });
        single
            .filter(|(_, first)| now.saturating_duration_since(first.started) >= limit)
            .map(|(chunk, first)| (chunk, first.source))
            .collect()
    }

    fn response_times(&mut self, source: source::Source) -> &mut response_times::ResponseTimes {
        match source {
            source::Source::Origin => &mut self.origin_times,
            source::Source::Peer(_) => &mut self.peer_times,
        }
    }

    fn take(
        &mut self,
        chunk: lift_types::ChunkIndex,
        source: source::Source,
    ) -> Option<PendingRequest> {
        let requests = self.by_chunk.get_mut(&chunk)?;
        let index = requests
            .iter()
            .position(|request| request.source == source)?;
        let request = requests.swap_remove(index);
        if requests.is_empty() {
            self.by_chunk.swap_remove(&chunk);
        }
        Some(request)
    }

    fn remove_where(
        &mut self,
        matches: impl Fn(&PendingRequest) -> bool,
    ) -> Vec<(lift_types::ChunkIndex, source::Source)> {
        let mut removed = Vec::new();
        self.by_chunk.retain(|chunk, requests| {
            requests.retain(|request| {
                let remove = matches(request);
                if remove {
                    removed.push((*chunk, request.source));
                }
                !remove
            });
            !requests.is_empty()
        });
        removed
    }
}
