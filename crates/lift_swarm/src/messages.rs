//! Handling of messages from other agents.

use std::{sync, time};

use crate::{agent, interest, transfer};

use lift_transfer::{DownloadEvent as Event, Source};
use lift_wire::ChunkMessage as Message;

impl agent::Agent {
    /// Handles a message from `host`.
    pub(crate) fn handle_message(
        self: &sync::Arc<Self>,
        host: lift_types::HostId,
        message: Message,
    ) {
        match message {
            Message::Hello { .. } | Message::Ping => {}
            Message::Interest { version, groups } => {
                self.handle_interest(host, interest::Interest::new(version, groups));
            }
            Message::Bitmap { version, bits } => {
                let chunks = decode_bitmap(&bits);
                self.handle_download_event(&version, Event::Have { host, chunks });
            }
            Message::Have { version, chunks } => {
                self.handle_download_event(&version, Event::Have { host, chunks });
            }
            Message::Request { hash } => self.handle_request(host, hash),
            Message::Cancel { hash } => {
                let upload = lift_transfer::Upload { host, hash };
                self.uploads.lock().cancel(&upload);
            }
            Message::Busy { hash } => {
                self.handle_chunk_event(&hash, |chunk| Event::Refused {
                    chunk,
                    source: Source::Peer(host),
                    retry_after: None,
                });
            }
            Message::Missing { hash } => {
                self.handle_chunk_event(&hash, |chunk| Event::Missing { chunk, host });
            }
            Message::Chunk { hash, bytes } => self.handle_chunk(host, hash, bytes),
        }
    }

    /// Stores the interest of `host` and sends it the bitmap of the chunks of that version, if
    /// the manifest is known.
    fn handle_interest(&self, host: lift_types::HostId, interest: interest::Interest) {
        let message = self.bitmap_message(&interest.version);
        self.links.with(&host, |links| {
            if let Some(link) = links.get_mut(&host) {
                link.interest = Some(interest);
                message.map(|message| link.send(message));
            }
        });
    }

    /// Returns the bitmap of the verified chunks of `version`, or `None` if its manifest is not
    /// known.
    pub(crate) fn bitmap_message(&self, version: &str) -> Option<Message> {
        let manifest = self.versions.manifest(version)?;
        let mut bits = vec![0_u8; manifest.chunks.len().div_ceil(8)];
        for (i, hash) in manifest.chunks.iter().enumerate() {
            if self.chunks.is_verified(hash) {
                bits[i / 8] |= 1 << (i % 8);
            }
        }
        let version = manifest.version.clone();
        Some(Message::Bitmap { version, bits })
    }

    fn handle_request(
        self: &sync::Arc<Self>,
        host: lift_types::HostId,
        hash: lift_types::ChunkHash,
    ) {
        if !self.chunks.is_verified(&hash) {
            self.send_to(host, Message::Missing { hash });
            return;
        }
        let upload = lift_transfer::Upload { host, hash };
        match self.uploads.lock().add(upload) {
            lift_transfer::UploadReply::Queued => self.upload_now.notify_one(),
            lift_transfer::UploadReply::Busy => {
                self.counters.increment("chunk_upload_busy");
                self.send_to(host, Message::Busy { hash });
            }
        }
    }

    /// Verifies and stores a chunk. Chunks that the current transfer does not need are dropped,
    /// so that no sender can fill the memory.
    fn handle_chunk(
        self: &sync::Arc<Self>,
        host: lift_types::HostId,
        hash: lift_types::ChunkHash,
        bytes: bytes::Bytes,
    ) {
        let is_needed = {
            let transfer = self.transfer.lock();
            let indices = transfer.as_ref().map(|t| t.chunk_indices(&hash).len());
            indices.unwrap_or_default() > 0
        };
        if !is_needed || self.chunks.is_verified(&hash) {
            self.counters.increment("chunk_unwanted");
            return;
        }
        self.counters
            .add("chunk_bytes_from_agents", bytes.len() as u64);
        let own = self.clone();
        self.spawn_until_stop(async move {
            own.store_chunk(Source::Peer(host), hash, bytes).await;
        });
    }

    /// Verifies and stores a chunk, announces it, and reports the result to the download.
    pub(crate) async fn store_chunk(
        self: &sync::Arc<Self>,
        source: Source,
        hash: lift_types::ChunkHash,
        bytes: bytes::Bytes,
    ) {
        let chunks = self.chunks.clone();
        let stored = Self::run_blocking(move || chunks.put(&hash, &bytes)).await;
        match stored {
            Some(Ok(())) => {
                self.announce_stored(source, &hash);
                self.handle_chunk_event(&hash, |chunk| Event::Arrived { chunk, source });
            }
            Some(Err(error)) => {
                self.counters.increment("chunk_corrupt");
                slog::warn!(self.log, "chunk dropped"; "hash" => ?hash,
                    "source" => ?source, "error" => %error);
                self.handle_chunk_event(&hash, |chunk| Event::Corrupt { chunk, source });
            }
            None => self.handle_chunk_event(&hash, |chunk| Event::Refused {
                chunk,
                source,
                retry_after: None,
            }),
        }
    }

    /// Announces a stored chunk to all interested agents if it came from a neighbour. Otherwise
    /// it is new in the region and is announced to a few neighbours and to other regions first.
    fn announce_stored(&self, source: Source, hash: &lift_types::ChunkHash) {
        let indices = self.read_current_transfer(|t| t.chunk_indices(hash).to_vec());
        let is_from_neighbour = match source {
            Source::Origin => false,
            Source::Peer(host) => self.links.with(&host, |links| {
                let link = links.get(&host);
                link.is_some_and(|link| link.location.region == self.location.region)
            }),
        };
        if is_from_neighbour {
            self.unannounced.lock().extend(indices);
            self.announce_now.notify_one();
            return;
        }
        let manifest = self.transfer.lock().as_ref().map(|t| t.manifest.clone());
        let Some(manifest) = manifest else {
            return;
        };
        for chunk in indices {
            self.staggered_announcements
                .lock()
                .insert(time::Instant::now(), chunk);
            self.announce_to_first_receivers(&manifest, chunk);
        }
    }

    /// Passes an event for each index of a chunk to the current download.
    pub(crate) fn handle_chunk_event(
        self: &sync::Arc<Self>,
        hash: &lift_types::ChunkHash,
        event: impl Fn(lift_types::ChunkIndex) -> Event,
    ) {
        let found =
            self.read_current_transfer(|t| (t.version.clone(), t.chunk_indices(hash).to_vec()));
        let (version, indices) = found;
        self.handle_download_events(&version, indices.into_iter().map(event));
    }

    /// Returns the result of `f` for the current transfer, or the default if there is none.
    pub(crate) fn read_current_transfer<T: Default>(
        &self,
        f: impl FnOnce(&transfer::Transfer) -> T,
    ) -> T {
        self.transfer.lock().as_ref().map(f).unwrap_or_default()
    }
}

/// Returns the indices of the bits that are set.
fn decode_bitmap(bits: &[u8]) -> Vec<lift_types::ChunkIndex> {
    let all = 0..bits.len() * 8;
    all.filter(|i| bits[i / 8] & (1 << (i % 8)) != 0)
        .map(|i| i as lift_types::ChunkIndex)
        .collect()
}
