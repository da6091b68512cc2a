//! Rate of one direction of a link.

use std::{sync, time};

use sync::atomic;

/// Unused time that may be caught up, so that timers that fire late by a millisecond or two
/// do not lower the rate.
const BURST: time::Duration = time::Duration::from_millis(25);

/// Token bucket that holds all connections over one direction of a link to a rate, first
/// come, first served.
#[derive(Debug)]
pub struct LinkRate {
    bytes_per_second: f64,
    free_at: parking_lot::Mutex<time::Instant>,
    carried: atomic::AtomicU64,
}

impl LinkRate {
    /// Limits to `bytes_per_second`, at least one.
    pub fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second: bytes_per_second.max(1) as f64,
            free_at: parking_lot::Mutex::new(time::Instant::now()),
            carried: atomic::AtomicU64::new(0),
        }
    }

    /// Takes the next place for `bytes` and returns when they have passed.
    pub fn reserve(&self, bytes: usize) -> time::Instant {
        let now = time::Instant::now();
        let earliest = now.checked_sub(BURST).unwrap_or(now);
        self.carried
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
        let mut free_at = self.free_at.lock();
        let start = (*free_at).max(earliest);
        *free_at = start + time::Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        *free_at
    }

    /// Bytes that have passed or wait.
    pub fn carried(&self) -> u64 {
        self.carried.load(atomic::Ordering::Relaxed)
    }
}
