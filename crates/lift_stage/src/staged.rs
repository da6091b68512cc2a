//! Pieces of one version in the staging area.

use std::{sync, time};

use sync::atomic;
use tokio::sync::watch;

use crate::piece_manifest;

/// Which pieces of a version are staged and were checked.
#[derive(Debug)]
pub(crate) struct Staged {
    pub(crate) manifest: piece_manifest::PieceManifest,
    held: parking_lot::Mutex<indexmap::IndexSet<lift_types::ChunkIndex>>,
    count: watch::Sender<usize>,
    is_initialized: atomic::AtomicBool,
    /// Pieces that are missing and that no agent is known to hold.
    pub(crate) without_holder: atomic::AtomicU32,
    /// Whether the origin has dropped the version.
    pub(crate) is_dropped: atomic::AtomicBool,
    /// Pieces that were fetched.
    fetched: parking_lot::Mutex<Option<Fetched>>,
}

/// Pieces that were fetched, after the first one.
#[derive(Clone, Copy, Debug)]
struct Fetched {
    first: time::Instant,
    last: time::Instant,
    later: u32,
}

impl Staged {
    pub(crate) fn new(manifest: piece_manifest::PieceManifest) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            manifest,
            held: parking_lot::Mutex::default(),
            count: watch::Sender::new(0),
            is_initialized: atomic::AtomicBool::new(false),
            without_holder: atomic::AtomicU32::new(u32::MAX),
            is_dropped: atomic::AtomicBool::new(false),
            fetched: parking_lot::Mutex::default(),
        })
    }

    /// Whether this is the version `version` of `model`.
    pub(crate) fn is(&self, model: &str, version: lift_fleet::WeightsVersion) -> bool {
        self.manifest.model == model && self.manifest.version == version
    }

    /// Whether pieces that lay in the staging area before have been noted.
    pub(crate) fn is_initialized(&self) -> bool {
        self.is_initialized.load(atomic::Ordering::Relaxed)
    }

    /// Notes that pieces that lay in the staging area before have been noted.
    pub(crate) fn set_initialized(&self) {
        self.is_initialized.store(true, atomic::Ordering::Relaxed);
    }

    /// Notes that a piece is staged and was checked.
    pub(crate) fn add(&self, index: lift_types::ChunkIndex) {
        let mut held = self.held.lock();
        held.insert(index);
        self.count.send_replace(held.len());
    }

    /// Notes that a fetched piece is staged.
    pub(crate) fn add_fetched(&self, index: lift_types::ChunkIndex) {
        let now = lift_clock::now();
        match &mut *self.fetched.lock() {
            Some(fetched) => {
                fetched.last = now;
                fetched.later += 1;
            }
            none => {
                *none = Some(Fetched {
                    first: now,
                    last: now,
                    later: 0,
                });
            }
        }
        self.add(index);
    }

    /// Notes that a piece is missing or spoilt.
    pub(crate) fn remove(&self, index: lift_types::ChunkIndex) {
        self.held.lock().shift_remove(&index);
    }

    /// Whether a piece is staged.
    pub(crate) fn holds(&self, index: lift_types::ChunkIndex) -> bool {
        self.held.lock().contains(&index)
    }

    /// All staged pieces.
    pub(crate) fn all(&self) -> Vec<lift_types::ChunkIndex> {
        self.held.lock().iter().copied().collect()
    }

    /// Average time between two fetched pieces so far, or `None` if there are too few. Pieces that
    /// were staged before took no time and don't count.
    pub(crate) fn piece_time(&self) -> Option<time::Duration> {
        let fetched = (*self.fetched.lock())?;
        let took = fetched.last.saturating_duration_since(fetched.first);
        took.checked_div(fetched.later)
    }

    /// Whether all pieces are staged.
    pub(crate) fn is_whole(&self) -> bool {
        self.held.lock().len() == self.manifest.digests.len()
    }

    /// Follows the number of staged pieces.
    pub(crate) fn watch(&self) -> watch::Receiver<usize> {
        self.count.subscribe()
    }
}
