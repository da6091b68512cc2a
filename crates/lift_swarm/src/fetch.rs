//! Access to the origin and to the weight store.

use std::{sync, time};

use crate::agent;

use lift_transfer::{DownloadEvent as Event, Source};

/// Timeout of one read from the origin, or of one read or write at the weight store. It is far
/// above the time of a read at a fair share of the origin link, because an abandoned read
/// wastes the capacity that it has used.
const IO_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Pause after the origin has failed without giving a time for a retry.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

impl agent::Agent {
    /// Fetches a chunk from the weight store, or from the origin if the store does not provide
    /// it, and stores it on disk. Reports a failure to the download.
    pub(crate) async fn fetch_chunk(
        self: &sync::Arc<Self>,
        manifest: sync::Arc<lift_types::Manifest>,
        chunk: lift_types::ChunkIndex,
    ) {
        let Some(hash) = manifest.chunks.get(chunk as usize).copied() else {
            return;
        };
        if let Some(bytes) = self.read_weight_store(&hash).await {
            self.store_chunk(Source::Origin, hash, bytes).await;
            return;
        }
        match self.read_origin(&manifest, chunk).await {
            Ok(bytes) => {
                self.write_weight_store(&hash, &bytes);
                self.store_chunk(Source::Origin, hash, bytes).await;
            }
            Err(retry_after) => {
                self.counters.increment("chunk_origin_failed");
                let event = Event::Refused {
                    chunk,
                    source: Source::Origin,
                    retry_after: Some(retry_after),
                };
                self.handle_download_event(&manifest.version, event);
            }
        }
    }

    async fn read_origin(
        &self,
        manifest: &lift_types::Manifest,
        chunk: lift_types::ChunkIndex,
    ) -> Result<bytes::Bytes, time::Duration> {
        let range = manifest.range(chunk).unwrap_or_default();
        let length = range.end - range.start;
        let read = self.ports.origin.read(&manifest.version, range);
        let Ok(read) = tokio::time::timeout(IO_TIMEOUT, read).await else {
            return Err(RETRY_DELAY);
        };
        let bytes = read.map_err(|error| match error.current_context() {
            lift_border::OriginError::Throttled { retry_after } => *retry_after,
            _ => RETRY_DELAY,
        })?;
        self.counters.add("chunk_bytes_from_origin", length);
        Ok(bytes)
    }

    /// Reads a chunk from the weight store. Returns `None` if there is no store, or if it lacks
    /// the chunk, throttles, fails or returns a corrupt chunk: the origin has every chunk.
    async fn read_weight_store(&self, hash: &lift_types::ChunkHash) -> Option<bytes::Bytes> {
        let store = self.ports.weight_store.as_ref()?;
        let read = tokio::time::timeout(IO_TIMEOUT, store.read(hash))
            .await
            .ok()?;
        let bytes = read.ok()?;
        if lift_types::ChunkHash::of(&bytes) != *hash {
            self.counters.increment("chunk_corrupt");
            return None;
        }
        self.counters
            .add("chunk_bytes_from_weight_store", bytes.len() as u64);
        Some(bytes)
    }

    /// Writes a chunk to the weight store in the background, if it matches its hash.
    fn write_weight_store(
        self: &sync::Arc<Self>,
        hash: &lift_types::ChunkHash,
        bytes: &bytes::Bytes,
    ) {
        let Some(store) = self.ports.weight_store.clone() else {
            return;
        };
        let (own, hash, bytes) = (self.clone(), *hash, bytes.clone());
        self.spawn_until_stop(async move {
            if lift_types::ChunkHash::of(&bytes) != hash {
                return;
            }
            let write = tokio::time::timeout(IO_TIMEOUT, store.write(&hash, bytes)).await;
            if !matches!(write, Ok(Ok(()))) {
                own.counters.increment("weight_store_write_failed");
            }
        });
    }
}
