//! Queue of uploads on one agent.

use crate::{upload, upload_reply};

/// Maximum number of queued requests from one host.
const MAX_PER_HOST: usize = 4;

/// Maximum number of queued requests for one chunk. Further requesters get the chunk sooner from
/// one of the first receivers; this doubles the number of holders of a new chunk in each round.
const MAX_PER_CHUNK: usize = 2;

/// Amount added to the sequence number of a request for each time its chunk was sent.
const DELAY_PER_SEND: u64 = 2;

/// Number of sends of a chunk above which its requests are not delayed further. Without a bound,
/// a home host that constantly receives new chunks would never serve requests for older ones.
const MAX_DELAYED_SENDS: u32 = 2;

/// Bounded queue of upload requests.
///
/// Requests are served in order of arrival, except that those for chunks that were sent before are
/// delayed. A chunk that a home host has sent once can be passed on by its receiver, so sending
/// another one first spreads both sooner.
#[derive(Debug)]
pub struct UploadQueue {
    limit: usize,
    /// Queued requests, each with its sequence number.
    waiting: indexmap::IndexMap<upload::Upload, u64>,
    send_counts: indexmap::IndexMap<lift_types::ChunkHash, u32>,
    sequence: u64,
}

impl UploadQueue {
    /// Creates an empty queue that holds at most `limit` requests; zero counts as one.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            waiting: indexmap::IndexMap::new(),
            send_counts: indexmap::IndexMap::new(),
            sequence: 0,
        }
    }

    /// Adds a request. A request that is already queued keeps its position.
    pub fn add(&mut self, upload: upload::Upload) -> upload_reply::UploadReply {
        if self.waiting.contains_key(&upload) {
            return upload_reply::UploadReply::Queued;
        }
        let of_host = self
            .waiting
            .keys()
            .filter(|w| w.host == upload.host)
            .count();
        let of_chunk = self
            .waiting
            .keys()
            .filter(|w| w.hash == upload.hash)
            .count();
        let is_full = self.waiting.len() >= self.limit;
        if is_full || of_host >= MAX_PER_HOST || of_chunk >= MAX_PER_CHUNK {
            return upload_reply::UploadReply::Busy;
        }
        self.sequence += 1;
        self.waiting.insert(upload, self.sequence);
        upload_reply::UploadReply::Queued
    }

    /// Removes a request from the queue.
    pub fn cancel(&mut self, upload: &upload::Upload) {
        self.waiting.shift_remove(upload);
    }

    /// Removes all requests of a host from the queue.
    pub fn remove_host(&mut self, host: lift_types::HostId) {
        self.waiting.retain(|upload, _| upload.host != host);
    }

    /// Removes and returns the next upload and counts its chunk as sent.
    pub fn take_next(&mut self) -> Option<upload::Upload> {
        let next = self
            .waiting
            .iter()
            .min_by_key(|(upload, sequence)| **sequence + self.delay(upload))
            .map(|(upload, _)| *upload)?;
        self.waiting.shift_remove(&next);
        *self.send_counts.entry(next.hash).or_default() += 1;
        Some(next)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Drops the send counts of chunks that are no longer held.
    pub fn retain_counts(&mut self, is_held: impl Fn(&lift_types::ChunkHash) -> bool) {
        self.send_counts.retain(|hash, _| is_held(hash));
    }

    /// Returns the amount added to the sequence number of a request.
    fn delay(&self, upload: &upload::Upload) -> u64 {
        let sent = self
            .send_counts
            .get(&upload.hash)
            .copied()
            .unwrap_or_default();
        u64::from(sent.min(MAX_DELAYED_SENDS)) * DELAY_PER_SEND
    }
}
