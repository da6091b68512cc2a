//! What an agent does with messages from other agents.

use std::{sync, time};

use crate::{agent, interest, transfer};

use lift_transfer::{DownloadEvent as Event, Source};
use lift_wire::ChunkMessage as Message;

impl agent::Agent {
    /// Takes a message from `host`.
    pub(crate) fn take_message(self: &sync::Arc<Self>, host: lift_types::HostId, message: Message) {
        match message {
            Message::Hello { .. } | Message::Ping => {}
            Message::Interest { version, groups } => {
                self.take_interest(host, interest::Interest::new(version, groups));
            }
            Message::Bitmap { version, bits } => {
                let chunks = positions(&bits);
                self.transfer_event(&version, Event::Have { host, chunks });
            }
            Message::Have { version, chunks } => {
                self.transfer_event(&version, Event::Have { host, chunks });
            }
            Message::Request { hash } => self.take_request(host, hash),
            Message::Cancel { hash } => {
                let upload = lift_transfer::Upload { host, hash };
                self.uploads.lock().cancel(&upload);
            }
            Message::Busy { hash } => {
                self.chunk_event(&hash, |chunk| Event::Refused {
                    chunk,
                    source: Source::Peer(host),
                    retry_after: None,
                });
            }
            Message::Missing { hash } => {
                self.chunk_event(&hash, |chunk| Event::Missing { chunk, host });
            }
            Message::Chunk { hash, bytes } => self.take_chunk(host, hash, bytes),
        }
    }

    /// Tells `host` which chunks of a version are held here.
    fn take_interest(&self, host: lift_types::HostId, interest: interest::Interest) {
        let message = self.bitmap(&interest.version);
        self.links.with(&host, |links| {
            if let Some(link) = links.get_mut(&host) {
                link.interest = Some(interest);
                message.map(|message| link.send(message));
            }
        });
    }

    /// Chunks of `version` that are held, where its manifest is known.
    pub(crate) fn bitmap(&self, version: &str) -> Option<Message> {
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

    fn take_request(self: &sync::Arc<Self>, host: lift_types::HostId, hash: lift_types::ChunkHash) {
        if !self.chunks.is_verified(&hash) {
            self.tell(host, Message::Missing { hash });
            return;
        }
        let upload = lift_transfer::Upload { host, hash };
        match self.uploads.lock().add(upload) {
            lift_transfer::UploadReply::Queued => self.upload_now.notify_one(),
            lift_transfer::UploadReply::Busy => {
                self.counters.increment("chunk_upload_busy");
                self.tell(host, Message::Busy { hash });
            }
        }
    }

    /// Verifies and stores a chunk. Chunks that the current transfer does not need are
    /// dropped, so that no sender can fill the memory.
    fn take_chunk(
        self: &sync::Arc<Self>,
        host: lift_types::HostId,
        hash: lift_types::ChunkHash,
        bytes: bytes::Bytes,
    ) {
        let is_needed = {
            let transfer = self.transfer.lock();
            let positions = transfer.as_ref().map(|t| t.positions(&hash).len());
            positions.unwrap_or_default() > 0
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

    /// Verifies and stores a chunk and tells the download.
    pub(crate) async fn store_chunk(
        self: &sync::Arc<Self>,
        source: Source,
        hash: lift_types::ChunkHash,
        bytes: bytes::Bytes,
    ) {
        let chunks = self.chunks.clone();
        let stored = Self::block(move || chunks.put(&hash, &bytes)).await;
        match stored {
            Some(Ok(())) => {
                self.announce(source, &hash);
                self.chunk_event(&hash, |chunk| Event::Arrived { chunk, source });
            }
            Some(Err(error)) => {
                self.counters.increment("chunk_corrupt");
                slog::warn!(self.log, "chunk dropped"; "hash" => ?hash,
                    "source" => ?source, "error" => %error);
                self.chunk_event(&hash, |chunk| Event::Corrupt { chunk, source });
            }
            None => self.chunk_event(&hash, |chunk| Event::Refused {
                chunk,
                source,
                retry_after: None,
            }),
        }
    }

    /// Tells others about a stored chunk: a chunk from a neighbour to all, one that is new in
    /// the region to a few first.
    fn announce(&self, source: Source, hash: &lift_types::ChunkHash) {
        let positions = self.current(|t| t.positions(hash).to_vec());
        let is_near = match source {
            Source::Origin => false,
            Source::Peer(host) => self.links.with(&host, |links| {
                let link = links.get(&host);
                link.is_some_and(|link| link.location.region == self.location.region)
            }),
        };
        if is_near {
            self.fresh.lock().extend(positions);
            self.fresh_now.notify_one();
            return;
        }
        let manifest = self.transfer.lock().as_ref().map(|t| t.manifest.clone());
        let Some(manifest) = manifest else {
            return;
        };
        for chunk in positions {
            self.seeds.lock().insert(time::Instant::now(), chunk);
            self.tell_first(&manifest, chunk);
        }
    }

    /// Gives an event for each position of a chunk to the current download.
    pub(crate) fn chunk_event(
        self: &sync::Arc<Self>,
        hash: &lift_types::ChunkHash,
        event: impl Fn(lift_types::ChunkIndex) -> Event,
    ) {
        let found = self.current(|t| (t.version.clone(), t.positions(hash).to_vec()));
        let (version, positions) = found;
        self.transfer_events(&version, positions.into_iter().map(event));
    }

    /// Reads from the current transfer, or gives the default where there is none.
    pub(crate) fn current<T: Default>(&self, f: impl FnOnce(&transfer::Transfer) -> T) -> T {
        self.transfer.lock().as_ref().map(f).unwrap_or_default()
    }
}

/// Positions of the bits that are set.
fn positions(bits: &[u8]) -> Vec<lift_types::ChunkIndex> {
    let all = 0..bits.len() * 8;
    all.filter(|i| bits[i / 8] & (1 << (i % 8)) != 0)
        .map(|i| i as lift_types::ChunkIndex)
        .collect()
}
