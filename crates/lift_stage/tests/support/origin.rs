//! An origin that counts what it sends.

use std::{net, sync, time};

use lift_stage::{PieceDigest, PieceManifest, StageError};
use sync::atomic;

use super::hold;

type Result<T> = std::result::Result<T, error_stack::Report<StageError>>;

#[derive(Clone, Debug)]
pub(crate) struct Origin {
    state: sync::Arc<State>,
}

#[derive(Debug)]
struct State {
    pieces: u32,
    reads: atomic::AtomicU32,
    spoil_every: atomic::AtomicU32,
    delay: parking_lot::Mutex<time::Duration>,
    is_away: atomic::AtomicBool,
    /// First pieces that are equal in all versions.
    shared: atomic::AtomicU32,
    /// Reads of pieces while it was away.
    refused: atomic::AtomicU32,
    has_manifests: atomic::AtomicBool,
    manifest_reads: atomic::AtomicU32,
    odd_manifests: parking_lot::Mutex<Vec<PieceManifest>>,
    /// A piece whose bytes are held back, with its version.
    held_piece: parking_lot::Mutex<Option<(u64, u32)>>,
    hold: hold::Hold,
}

impl Origin {
    pub(crate) fn new(pieces: u32) -> Self {
        let state = State {
            pieces,
            reads: atomic::AtomicU32::new(0),
            spoil_every: atomic::AtomicU32::new(u32::MAX),
            delay: parking_lot::Mutex::default(),
            is_away: atomic::AtomicBool::new(false),
            shared: atomic::AtomicU32::new(0),
            refused: atomic::AtomicU32::new(0),
            has_manifests: atomic::AtomicBool::new(true),
            manifest_reads: atomic::AtomicU32::new(0),
            odd_manifests: parking_lot::Mutex::default(),
            held_piece: parking_lot::Mutex::default(),
            hold: hold::Hold::default(),
        };
        Self {
            state: sync::Arc::new(state),
        }
    }

    pub(crate) fn reads(&self) -> u32 {
        self.state.reads.load(atomic::Ordering::SeqCst)
    }

    pub(crate) fn spoil_every(&self, reads: u32) {
        self.state
            .spoil_every
            .store(reads, atomic::Ordering::SeqCst);
    }

    pub(crate) fn slow_down(&self, delay: time::Duration) {
        *self.state.delay.lock() = delay;
    }

    /// Accepts no connection, or accepts them again.
    pub(crate) fn set_away(&self, is_away: bool) {
        self.state.is_away.store(is_away, atomic::Ordering::SeqCst);
    }

    /// Reads of pieces while it was away.
    pub(crate) fn refused(&self) -> u32 {
        self.state.refused.load(atomic::Ordering::SeqCst)
    }

    fn check(&self) -> Result<()> {
        match self.state.is_away.load(atomic::Ordering::SeqCst) {
            true => Err(error_stack::Report::new(StageError::Origin)),
            false => Ok(()),
        }
    }

    /// Reads of manifests that reached it.
    pub(crate) fn manifest_reads(&self) -> u32 {
        self.state.manifest_reads.load(atomic::Ordering::SeqCst)
    }

    /// Hands out no manifest any more.
    pub(crate) fn refuse_manifests(&self) {
        self.state
            .has_manifests
            .store(false, atomic::Ordering::SeqCst);
    }

    /// Hands out these manifests first, the last one before the others.
    pub(crate) fn send_first(&self, odd: Vec<PieceManifest>) {
        *self.state.odd_manifests.lock() = odd;
    }

    /// Falls silent on the next read of a piece, until the returned hold is released.
    pub(crate) fn hold_piece(&self, version: u64, index: u32) -> hold::Hold {
        *self.state.held_piece.lock() = Some((version, index));
        self.state.hold.arm();
        self.state.hold.clone()
    }

    /// Makes the first `pieces` pieces of all versions equal.
    pub(crate) fn share_pieces(&self, pieces: u32) {
        self.state.shared.store(pieces, atomic::Ordering::SeqCst);
    }

    /// Bytes of a piece.
    pub(crate) fn bytes(&self, version: u64, index: u32) -> bytes::Bytes {
        let is_shared = index < self.state.shared.load(atomic::Ordering::SeqCst);
        let version = if is_shared { 0 } else { version };
        bytes::Bytes::from(format!("piece {index} of version {version}").repeat(20))
    }

    pub(crate) fn pieces(&self) -> u32 {
        self.state.pieces
    }
}

#[async_trait::async_trait]
impl lift_stage::OriginPort for Origin {
    async fn reach(&self, _: net::SocketAddr) -> Result<()> {
        self.check()
    }

    async fn manifest(
        &self,
        _: net::SocketAddr,
        model: &str,
        version: Option<u64>,
    ) -> Result<PieceManifest> {
        self.check()?;
        self.state
            .manifest_reads
            .fetch_add(1, atomic::Ordering::SeqCst);
        if !self.state.has_manifests.load(atomic::Ordering::SeqCst) {
            return Err(error_stack::Report::new(StageError::Origin));
        }
        if let Some(odd) = self.state.odd_manifests.lock().pop() {
            return Ok(odd);
        }
        let version = version.unwrap_or(1);
        let digests = (0..self.state.pieces).map(|i| PieceDigest::of(&self.bytes(version, i)));
        Ok(PieceManifest {
            model: String::from(model),
            version,
            piece_bytes: self.bytes(version, 0).len() as u32,
            digests: digests.collect(),
        })
    }

    async fn piece(
        &self,
        _: net::SocketAddr,
        _: &str,
        version: u64,
        index: u32,
        _: usize,
    ) -> Result<bytes::Bytes> {
        if let Err(e) = self.check() {
            self.state.refused.fetch_add(1, atomic::Ordering::SeqCst);
            return Err(e);
        }
        let read = self.state.reads.fetch_add(1, atomic::Ordering::SeqCst);
        let delay = *self.state.delay.lock();
        tokio::time::sleep(delay).await;
        let is_held = *self.state.held_piece.lock() == Some((version, index));
        if is_held {
            self.state.hold.pass().await;
        }
        let spoil_every = self.state.spoil_every.load(atomic::Ordering::SeqCst);
        if read % spoil_every == spoil_every - 1 {
            return Ok(bytes::Bytes::from_static(b"garbage"));
        }
        Ok(self.bytes(version, index))
    }
}
