//! Engine of a backend server.

use std::time;

use crate::soak_weights;

/// Weights of an engine and its staging area.
#[derive(Debug, Default)]
pub(crate) struct ServerEngine {
    /// Pieces that are staged, by their position. A crash leaves them.
    pub(crate) staged: indexmap::IndexMap<usize, bytes::Bytes>,
    /// Version that is loaded, 0 for none.
    pub(crate) version: u64,
    /// Version that is being loaded.
    pub(crate) loading: Option<u64>,
    /// Time that each read of a piece takes.
    pub(crate) read_time: time::Duration,
    /// Time for which a piece may have been spoilt when it is loaded.
    pub(crate) spoilt_grace: time::Duration,
    /// Piece that is spoilt right after its next read while a version lies there whole.
    pub(crate) spoilt_by_read: Option<(u64, usize)>,
    /// Pieces that were spoilt, and when.
    spoilt_at: indexmap::IndexMap<usize, time::Instant>,
    /// Whether the weights in use were loaded with a piece that had been spoilt for too long.
    pub(crate) is_rotten: bool,
}

impl ServerEngine {
    /// Weights in the way that heartbeats and reports tell them.
    pub(crate) fn weights(&self) -> Option<(&'static str, u64)> {
        (self.version > 0).then_some((soak_weights::MODEL, self.version))
    }

    /// Whether the staged pieces are those of `version`, but for those that were spoilt a short
    /// time ago.
    pub(crate) fn holds(&self, version: u64) -> bool {
        (0..soak_weights::PIECES).all(|i| {
            let is_excused = |at: &time::Instant| at.elapsed() < self.spoilt_grace;
            self.is_sound(version, i) || self.spoilt_at.get(&i).is_some_and(is_excused)
        })
    }

    fn is_sound(&self, version: u64, index: usize) -> bool {
        self.staged.get(&index) == Some(&soak_weights::piece(version, index))
    }

    /// Stores a piece over any earlier one.
    pub(crate) fn put(&mut self, index: usize, piece: bytes::Bytes) {
        self.staged.insert(index, piece);
        self.spoilt_at.shift_remove(&index);
    }

    /// Returns what is staged as a piece, and spoils it if it is the one to spoil.
    pub(crate) fn read(&mut self, index: usize) -> Option<bytes::Bytes> {
        let piece = self.staged.get(&index).cloned();
        let is_whole = |version| (0..soak_weights::PIECES).all(|i| self.is_sound(version, i));
        let spoils = self
            .spoilt_by_read
            .is_some_and(|(version, spoilt)| spoilt == index && is_whole(version));
        if spoils {
            self.spoilt_by_read = None;
            self.spoil_piece(index);
        }
        piece
    }

    /// Damages one staged piece.
    pub(crate) fn spoil(&mut self) {
        if let Some(index) = self.staged.keys().next().copied() {
            self.spoil_piece(index);
        }
    }

    fn spoil_piece(&mut self, index: usize) {
        self.staged
            .insert(index, bytes::Bytes::from_static(b"spoilt"));
        self.spoilt_at.insert(index, time::Instant::now());
    }

    /// Forgets what a crash loses.
    pub(crate) fn crash(&mut self) {
        self.version = 0;
        self.loading = None;
        self.is_rotten = false;
    }
}
