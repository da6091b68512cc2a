//! Order of uploads at one agent.

use crate::{upload, upload_reply};

/// Requests of one requester that may wait.
const MAX_PER_HOST: usize = 4;

/// Requests for one chunk that may wait. Others do better to wait for one of the first
/// receivers to pass it on; this doubles the holders of a new chunk in each round.
const MAX_PER_CHUNK: usize = 2;

/// Requests that may go before one for a chunk that was sent once.
const DELAY_PER_SEND: u64 = 2;

/// Sends above which a request is not delayed further. Without a bound a home host that
/// gets new chunks all the time would never answer requests for its older ones.
const MAX_DELAYED_SENDS: u32 = 2;

/// Requests that wait for an upload slot, at most a fixed number.
///
/// The chunk that was sent least often goes first: a chunk that a home host has sent once
/// can be passed on by its receiver, so sending another one first spreads both sooner.
#[derive(Debug)]
pub struct UploadQueue {
    limit: usize,
    waiting: indexmap::IndexMap<upload::Upload, u64>,
    sent: indexmap::IndexMap<lift_types::ChunkHash, u32>,
    sequence: u64,
}

impl UploadQueue {
    /// Starts empty; at most `limit` requests wait.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            waiting: indexmap::IndexMap::new(),
            sent: indexmap::IndexMap::new(),
            sequence: 0,
        }
    }

    /// Adds a request. A repeated one keeps its place.
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

    /// Withdraws a request.
    pub fn cancel(&mut self, upload: &upload::Upload) {
        self.waiting.shift_remove(upload);
    }

    /// Withdraws all requests of a host.
    pub fn remove_host(&mut self, host: lift_types::HostId) {
        self.waiting.retain(|upload, _| upload.host != host);
    }

    /// Takes the next upload and counts it as sent.
    pub fn take_next(&mut self) -> Option<upload::Upload> {
        let next = self
            .waiting
            .iter()
            .min_by_key(|(upload, sequence)| **sequence + self.delay(upload))
            .map(|(upload, _)| *upload)?;
        self.waiting.shift_remove(&next);
        *self.sent.entry(next.hash).or_default() += 1;
        Some(next)
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Forgets how often chunks were sent, except those that are still held.
    pub fn retain_counts(&mut self, is_held: impl Fn(&lift_types::ChunkHash) -> bool) {
        self.sent.retain(|hash, _| is_held(hash));
    }

    /// Number of later requests that may go before this one.
    fn delay(&self, upload: &upload::Upload) -> u64 {
        let sent = self.sent.get(&upload.hash).copied().unwrap_or_default();
        u64::from(sent.min(MAX_DELAYED_SENDS)) * DELAY_PER_SEND
    }
}
