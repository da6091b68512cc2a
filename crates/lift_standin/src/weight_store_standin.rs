//! Stand-in of a weight store.

use std::{sync, time};

/// A store of chunks in memory that limits its rate: a read beyond it is told to wait.
#[derive(Debug)]
pub struct WeightStoreStandin {
    chunks: parking_lot::Mutex<indexmap::IndexMap<lift_types::ChunkHash, bytes::Bytes>>,
    bytes_per_second: f64,
    /// When the bytes that were promised will have been sent.
    free_at: parking_lot::Mutex<time::Instant>,
    bytes_read: sync::atomic::AtomicU64,
}

impl WeightStoreStandin {
    /// Starts empty, with a rate limit.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            chunks: parking_lot::Mutex::default(),
            bytes_per_second: bytes_per_second.max(1) as f64,
            free_at: parking_lot::Mutex::new(time::Instant::now()),
            bytes_read: sync::atomic::AtomicU64::new(0),
        }
    }

    /// Bytes of chunks that were read.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read.load(sync::atomic::Ordering::Relaxed)
    }

    /// Number of chunks that are stored.
    pub fn chunks(&self) -> usize {
        self.chunks.lock().len()
    }

    fn take(&self, bytes: usize) -> Result<(), time::Duration> {
        let now = time::Instant::now();
        let mut free_at = self.free_at.lock();
        if *free_at > now {
            return Err(*free_at - now);
        }
        *free_at = now + time::Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        Ok(())
    }
}

#[async_trait::async_trait]
impl lift_border::WeightStore for WeightStoreStandin {
    async fn read(
        &self,
        chunk: &lift_types::ChunkHash,
    ) -> Result<bytes::Bytes, error_stack::Report<lift_border::OriginError>> {
        let found = self.chunks.lock().get(chunk).cloned();
        let Some(bytes) = found else {
            return Err(error_stack::Report::new(
                lift_border::OriginError::Missing {
                    what: chunk.to_hex(),
                },
            ));
        };
        self.take(bytes.len()).map_err(|retry_after| {
            error_stack::Report::new(lift_border::OriginError::Throttled { retry_after })
        })?;
        let length = bytes.len() as u64;
        self.bytes_read
            .fetch_add(length, sync::atomic::Ordering::Relaxed);
        Ok(bytes)
    }

    async fn write(
        &self,
        chunk: &lift_types::ChunkHash,
        bytes: bytes::Bytes,
    ) -> Result<(), error_stack::Report<lift_border::OriginError>> {
        self.chunks.lock().insert(*chunk, bytes);
        Ok(())
    }
}
