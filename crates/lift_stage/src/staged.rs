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
    is_looked_through: atomic::AtomicBool,
    /// Pieces that are missing and that no agent is known to hold.
    pub(crate) unseen: atomic::AtomicU32,
    /// Whether the origin has dropped the version.
    pub(crate) is_dropped: atomic::AtomicBool,
    /// When the first and the last piece were added.
    added: parking_lot::Mutex<Option<(time::Instant, time::Instant)>>,
}

impl Staged {
    pub(crate) fn new(manifest: piece_manifest::PieceManifest) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            manifest,
            held: parking_lot::Mutex::default(),
            count: watch::Sender::new(0),
            is_looked_through: atomic::AtomicBool::new(false),
            unseen: atomic::AtomicU32::new(u32::MAX),
            is_dropped: atomic::AtomicBool::new(false),
            added: parking_lot::Mutex::default(),
        })
    }

    /// Whether this is the version `version` of `model`.
    pub(crate) fn is(&self, model: &str, version: lift_fleet::WeightsVersion) -> bool {
        self.manifest.model == model && self.manifest.version == version
    }

    /// Whether pieces that lay in the staging area before have been noted.
    pub(crate) fn is_looked_through(&self) -> bool {
        self.is_looked_through.load(atomic::Ordering::Relaxed)
    }

    /// Notes that pieces that lay in the staging area before have been noted.
    pub(crate) fn set_looked_through(&self) {
        self.is_looked_through
            .store(true, atomic::Ordering::Relaxed);
    }

    /// Notes that a piece is staged and was checked.
    pub(crate) fn add(&self, index: lift_types::ChunkIndex) {
        let now = lift_clock::now();
        self.added.lock().get_or_insert((now, now)).1 = now;
        let mut held = self.held.lock();
        held.insert(index);
        self.count.send_replace(held.len());
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

    /// Average time between two pieces so far, or `None` if there are too few.
    pub(crate) fn piece_time(&self) -> Option<time::Duration> {
        let (first, last) = (*self.added.lock())?;
        let gaps = u32::try_from(self.all().len()).unwrap_or(u32::MAX);
        let gaps = gaps.checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some(last.saturating_duration_since(first) / gaps)
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
