//! Engine of a backend server.

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
}

impl ServerEngine {
    /// Weights in the way that heartbeats and reports tell them.
    pub(crate) fn weights(&self) -> Option<(&'static str, u64)> {
        (self.version > 0).then_some((soak_weights::MODEL, self.version))
    }

    /// Whether the staged pieces are those of `version`.
    pub(crate) fn holds(&self, version: u64) -> bool {
        (0..soak_weights::PIECES)
            .all(|i| self.staged.get(&i) == Some(&soak_weights::piece(version, i)))
    }

    /// Damages one staged piece.
    pub(crate) fn spoil(&mut self) {
        if let Some((_, piece)) = self.staged.first_mut() {
            *piece = bytes::Bytes::from_static(b"spoilt");
        }
    }

    /// Forgets what a crash loses.
    pub(crate) fn crash(&mut self) {
        self.version = 0;
        self.loading = None;
    }
}
