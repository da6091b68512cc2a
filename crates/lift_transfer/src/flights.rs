//! Requests in progress of a download.

use std::time;

use crate::{response_times, source};

/// Most requests for the same chunk: the first and one hedge.
const MAX_FLIGHTS: usize = 2;

#[derive(Clone, Copy, Debug)]
struct Flight {
    source: source::Source,
    since: time::Instant,
}

/// Requests in progress, by chunk, with the response times of agents and of the origin.
#[derive(Debug, Default)]
pub(crate) struct Flights {
    by_chunk: indexmap::IndexMap<lift_types::ChunkIndex, Vec<Flight>>,
    peer_times: response_times::ResponseTimes,
    origin_times: response_times::ResponseTimes,
}

impl Flights {
    pub(crate) fn contains(&self, chunk: lift_types::ChunkIndex) -> bool {
        self.by_chunk.contains_key(&chunk)
    }

    pub(crate) fn insert(
        &mut self,
        now: time::Instant,
        chunk: lift_types::ChunkIndex,
        source: source::Source,
    ) {
        let flight = Flight { source, since: now };
        self.by_chunk.entry(chunk).or_default().push(flight);
    }

    /// Removes an answered request and records its response time.
    pub(crate) fn remove(
        &mut self,
        chunk: lift_types::ChunkIndex,
        source: source::Source,
        now: time::Instant,
    ) -> bool {
        let Some(flight) = self.take(chunk, source) else {
            return false;
        };
        let elapsed = now.saturating_duration_since(flight.since);
        self.times(source).record(elapsed);
        true
    }

    /// Removes a request that was refused or answered wrongly.
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
        removed.into_iter().map(|flight| flight.source).collect()
    }

    /// Removes all requests to a source and returns their chunks.
    pub(crate) fn remove_source(&mut self, source: source::Source) -> Vec<lift_types::ChunkIndex> {
        self.remove_where(|flight| flight.source == source)
            .into_iter()
            .map(|(chunk, _)| chunk)
            .collect()
    }

    pub(crate) fn take_all(&mut self) -> Vec<(lift_types::ChunkIndex, source::Source)> {
        self.remove_where(|_| true)
    }

    /// Removes the requests whose time has run out.
    pub(crate) fn expired(
        &mut self,
        now: time::Instant,
        first: time::Duration,
        shortest: time::Duration,
    ) -> Vec<(lift_types::ChunkIndex, source::Source)> {
        let peer = self.peer_times.timeout(first, shortest);
        let origin = self.origin_times.timeout(first, shortest);
        let expired = self.remove_where(|flight| {
            let limit = match flight.source {
                source::Source::Origin => origin,
                source::Source::Peer(_) => peer,
            };
            now.saturating_duration_since(flight.since) >= limit
        });
        for (_, source) in &expired {
            self.times(*source).record_timeout();
        }
        expired
    }

    /// Chunks with a single request that takes much longer than usual.
    pub(crate) fn late(&self, now: time::Instant) -> Vec<(lift_types::ChunkIndex, source::Source)> {
        let Some(limit) = self.peer_times.hedge_after() else {
            return Vec::new();
        };
        let single = self.by_chunk.iter().filter_map(|(chunk, flights)| {
            let first = flights.first()?;
            (flights.len() < MAX_FLIGHTS).then_some((*chunk, *first))
        });
        single
            .filter(|(_, first)| now.saturating_duration_since(first.since) >= limit)
            .map(|(chunk, first)| (chunk, first.source))
            .collect()
    }

    fn times(&mut self, source: source::Source) -> &mut response_times::ResponseTimes {
        match source {
            source::Source::Origin => &mut self.origin_times,
            source::Source::Peer(_) => &mut self.peer_times,
        }
    }

    fn take(&mut self, chunk: lift_types::ChunkIndex, source: source::Source) -> Option<Flight> {
        let flights = self.by_chunk.get_mut(&chunk)?;
        let at = flights.iter().position(|flight| flight.source == source)?;
        let flight = flights.swap_remove(at);
        if flights.is_empty() {
            self.by_chunk.swap_remove(&chunk);
        }
        Some(flight)
    }

    fn remove_where(
        &mut self,
        matches: impl Fn(&Flight) -> bool,
    ) -> Vec<(lift_types::ChunkIndex, source::Source)> {
        let mut removed = Vec::new();
        self.by_chunk.retain(|chunk, flights| {
            flights.retain(|flight| {
                let remove = matches(flight);
                if remove {
                    removed.push((*chunk, flight.source));
                }
                !remove
            });
            !flights.is_empty()
        });
        removed
    }
}
