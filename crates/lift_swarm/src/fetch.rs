//! Reads from the origin and the weight store.

use std::{sync, time};

use crate::agent;

use lift_transfer::{DownloadEvent as Event, Source};

/// Time for one read. It is far above any fair share of the origin link, since a read that
/// is given up has used the link in vain.
const READ_LIMIT: time::Duration = time::Duration::from_secs(60);

/// Pause after a source has failed.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

impl agent::Agent {
    /// Reads a chunk from the weight store, or from the origin where the store lacks it.
    pub(crate) async fn fetch_origin(
        self: &sync::Arc<Self>,
        manifest: sync::Arc<lift_types::Manifest>,
        chunk: lift_types::ChunkIndex,
    ) {
        let Some(hash) = manifest.chunks.get(chunk as usize).copied() else {
            return;
        };
        if let Some(bytes) = self.read_store(&hash).await {
            self.store_chunk(Source::Origin, hash, bytes).await;
            return;
        }
        match self.read_origin(&manifest, chunk).await {
            Ok(bytes) => {
                self.offer_store(&hash, &bytes);
                self.store_chunk(Source::Origin, hash, bytes).await;
            }
            Err(retry_after) => {
                self.counters.increment("chunk_origin_failed");
                let event = Event::Refused {
                    chunk,
                    source: Source::Origin,
                    retry_after: Some(retry_after),
                };
                self.transfer_event(&manifest.version, event);
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
        let read = self.borders.origin.read(&manifest.version, range);
        let Ok(read) = tokio::time::timeout(READ_LIMIT, read).await else {
            return Err(RETRY_AFTER);
        };
        let bytes = read.map_err(|error| match error.current_context() {
            lift_border::OriginError::Throttled { retry_after } => *retry_after,
            _ => RETRY_AFTER,
        })?;
        self.counters.add("chunk_bytes_from_origin", length);
        Ok(bytes)
    }

    /// Reads from the weight store. A store that throttles or fails is passed over, since
    /// the origin has every chunk.
    async fn read_store(&self, hash: &lift_types::ChunkHash) -> Option<bytes::Bytes> {
        let store = self.borders.weight_store.as_ref()?;
        let read = tokio::time::timeout(READ_LIMIT, store.read(hash))
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
    fn offer_store(self: &sync::Arc<Self>, hash: &lift_types::ChunkHash, bytes: &bytes::Bytes) {
        let Some(store) = self.borders.weight_store.clone() else {
            return;
        };
        let (own, hash, bytes) = (self.clone(), *hash, bytes.clone());
        self.spawn_until_stop(async move {
            if lift_types::ChunkHash::of(&bytes) != hash {
                return;
            }
            let write = tokio::time::timeout(READ_LIMIT, store.write(&hash, bytes)).await;
            if !matches!(write, Ok(Ok(()))) {
                own.counters.increment("weight_store_write_failed");
            }
        });
    }
}
