//! Digests of the pieces in the staging area.

use crate::piece_digest;

/// Most pieces of which digests are kept. It bounds their memory to some 600 KB.
pub(crate) const MAX_PIECES: lift_types::ChunkIndex = 16_384;

/// Digests of the pieces in the staging area, as far as this process has read or written them.
///
/// A newer version is fetched at once: without the digests all pieces of the version before it
/// would be read and compared first. A piece may have turned bad since, so all pieces are still
/// read back before an order to load.
#[derive(Debug, Default)]
pub(crate) struct Inventory {
    state: parking_lot::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    model: lift_fleet::ModelName,
    digests: indexmap::IndexMap<lift_types::ChunkIndex, piece_digest::PieceDigest>,
    is_surveyed: bool,
}

impl Inventory {
    /// Notes what a piece is.
    pub(crate) fn record(
        &self,
        model: &str,
        index: lift_types::ChunkIndex,
        digest: piece_digest::PieceDigest,
    ) {
        let mut state = self.state.lock();
        state.select(model);
        if index < MAX_PIECES {
            state.digests.insert(index, digest);
        }
    }

    /// Notes that it is not known what a piece is.
    pub(crate) fn forget(&self, model: &str, index: lift_types::ChunkIndex) {
        let mut state = self.state.lock();
        state.select(model);
        state.digests.swap_remove(&index);
    }

    /// What a piece was when it was read or written last, or `None` where that is not known.
    pub(crate) fn digest(
        &self,
        model: &str,
        index: lift_types::ChunkIndex,
    ) -> Option<piece_digest::PieceDigest> {
        let state = self.state.lock();
        let is_model = state.model == model;
        state.digests.get(&index).copied().filter(|_| is_model)
    }

    /// Whether the pieces that were staged when the process started have been read.
    pub(crate) fn is_surveyed(&self, model: &str) -> bool {
        let state = self.state.lock();
        state.model == model && state.is_surveyed
    }

    /// Records that the pieces that were staged when the process started have been read.
    pub(crate) fn set_surveyed(&self, model: &str) {
        let mut state = self.state.lock();
        state.select(model);
        state.is_surveyed = true;
    }
}

impl State {
    fn select(&mut self, model: &str) {
        if self.model != model {
            *self = Self {
                model: String::from(model),
                ..Self::default()
            };
        }
    }
}
