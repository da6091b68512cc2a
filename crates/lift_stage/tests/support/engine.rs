//! A backend server that loads what is staged, as it is.

use std::{sync, time};

use lift_stage::{EngineReport, OrderAnswer, StageError};

use super::{hold, origin};

type Result<T> = std::result::Result<T, error_stack::Report<StageError>>;

#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    state: sync::Arc<parking_lot::Mutex<State>>,
    /// Where a write, an order and a read wait. They have been sent, so they are carried out also
    /// if the agent gives up.
    write_hold: hold::Hold,
    order_hold: hold::Hold,
    read_hold: hold::Hold,
    /// Held by each read where the server carries out one at a time.
    read_turn: sync::Arc<tokio::sync::Mutex<()>>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    staged: indexmap::IndexMap<u32, bytes::Bytes>,
    /// What was staged at each order, with the version that was ordered.
    loaded: Vec<(u64, indexmap::IndexMap<u32, bytes::Bytes>)>,
    /// Pieces that are spoilt once right after they were put.
    rot: u32,
    is_down: bool,
    /// Orders that are refused next.
    refusals: u32,
    /// Requests that it claims to run, and as many that wait.
    requests: u32,
    /// Positions that it claims to have staged besides the pieces that lie there.
    odd_positions: Vec<u32>,
    /// Reads of pieces that don't lie there.
    missed_reads: u32,
    /// Reads of pieces.
    reads: u32,
    /// Piece whose next write is held.
    held_write: Option<u32>,
    /// Piece whose next read is held, once these pieces are staged.
    held_read: Option<(u32, Vec<bytes::Bytes>)>,
    /// Time that each read of a piece takes.
    read_time: time::Duration,
    reads_one_by_one: bool,
    /// Piece that is spoilt once, right after it was read while all pieces of a version lay there.
    spoilt_by_read: Option<(u32, usize)>,
    /// Pieces that lie there spoilt, and since when.
    spoilt_since: indexmap::IndexMap<u32, time::Instant>,
    /// Longest time for which a piece had been spoilt when it was loaded.
    oldest_spoilt: time::Duration,
}

impl Engine {
    pub(crate) fn empty() -> Self {
        Self::default()
    }

    pub(crate) fn holding(version: u64) -> Self {
        let engine = Self::default();
        engine.state.lock().version = version;
        engine
    }

    /// Holds a version that is staged too.
    pub(crate) fn staged(version: u64, origin: &origin::Origin) -> Self {
        let engine = Self::holding(version);
        let pieces = (0..origin.pieces()).map(|i| (i, origin.bytes(version, i)));
        engine.state.lock().staged = pieces.collect();
        engine
    }

    pub(crate) fn version(&self) -> u64 {
        self.state.lock().version
    }

    /// Versions that were ordered, in order.
    pub(crate) fn ordered(&self) -> Vec<u64> {
        let state = self.state.lock();
        state.loaded.iter().map(|(version, _)| *version).collect()
    }

    /// Loses what is loaded, as a crash does.
    pub(crate) fn restart(&self) {
        self.state.lock().version = 0;
    }

    pub(crate) fn go_down(&self) {
        self.state.lock().is_down = true;
    }

    pub(crate) fn come_back(&self) {
        self.state.lock().is_down = false;
    }

    /// Refuses the next order.
    pub(crate) fn refuse_order(&self) {
        self.state.lock().refusals = 1;
    }

    /// Claims to run `requests` requests, and that as many wait.
    pub(crate) fn claim_requests(&self, requests: u32) {
        self.state.lock().requests = requests;
    }

    /// Claims to have staged these pieces too.
    pub(crate) fn claim_staged(&self, positions: &[u32]) {
        self.state.lock().odd_positions = positions.to_vec();
    }

    /// Reads of pieces that don't lie in the staging area.
    pub(crate) fn missed_reads(&self) -> u32 {
        self.state.lock().missed_reads
    }

    /// Reads of pieces.
    pub(crate) fn reads(&self) -> u32 {
        self.state.lock().reads
    }

    /// Falls silent on the next write of a piece, until the returned hold is released.
    pub(crate) fn hold_write(&self, index: u32) -> hold::Hold {
        self.state.lock().held_write = Some(index);
        self.write_hold.arm();
        self.write_hold.clone()
    }

    /// Falls silent on the next order, until the returned hold is released.
    pub(crate) fn hold_order(&self) -> hold::Hold {
        self.order_hold.arm();
        self.order_hold.clone()
    }

    /// Falls silent on the next read of a piece while a version is staged whole, until the returned
    /// hold is released.
    pub(crate) fn hold_read(
        &self,
        origin: &origin::Origin,
        version: u64,
        index: u32,
    ) -> hold::Hold {
        let pieces = (0..origin.pieces()).map(|i| origin.bytes(version, i));
        self.state.lock().held_read = Some((index, pieces.collect()));
        self.read_hold.arm();
        self.read_hold.clone()
    }

    fn is_read_held(&self, index: u32) -> bool {
        let state = self.state.lock();
        state.held_read.as_ref().is_some_and(|(held, pieces)| {
            *held == index
                && (0..)
                    .zip(pieces)
                    .all(|(i, p)| state.staged.get(&i) == Some(p))
        })
    }

    fn write(&self, index: u32, bytes: bytes::Bytes) {
        let mut state = self.state.lock();
        let is_spoilt = state.rot > 0;
        state.rot = state.rot.saturating_sub(1);
        let bytes = match is_spoilt {
            true => bytes::Bytes::from_static(b"rotten"),
            false => bytes,
        };
        state.staged.insert(index, bytes);
        state.spoilt_since.shift_remove(&index);
    }

    fn accept(&self, version: u64) {
        let mut state = self.state.lock();
        let staged = state.staged.clone();
        let oldest = state.spoilt_since.values().map(|at| at.elapsed()).max();
        state.oldest_spoilt = state.oldest_spoilt.max(oldest.unwrap_or_default());
        state.loaded.push((version, staged));
        state.version = version;
    }

    /// Spoils the next pieces that are put.
    pub(crate) fn rot(&self, pieces: u32) {
        self.state.lock().rot = pieces;
    }

    /// Spoils a piece that lies there.
    pub(crate) fn spoil(&self, index: u32) {
        let rotten = bytes::Bytes::from_static(b"rotten");
        self.state.lock().staged.insert(index, rotten);
    }

    /// Takes `time` for each read of a piece, and carries out one at a time if so told.
    pub(crate) fn slow_reads(&self, time: time::Duration, one_by_one: bool) {
        let mut state = self.state.lock();
        state.read_time = time;
        state.reads_one_by_one = one_by_one;
    }

    /// Spoils a piece once, right after it was read while `pieces` pieces lay there.
    pub(crate) fn spoil_after_read(&self, index: u32, pieces: u32) {
        self.state.lock().spoilt_by_read = Some((index, pieces as usize));
    }

    /// Longest time for which a piece had been spoilt when it was loaded.
    pub(crate) fn oldest_spoilt(&self) -> time::Duration {
        self.state.lock().oldest_spoilt
    }

    async fn take_read_time(&self) {
        let (time, one_by_one) = {
            let state = self.state.lock();
            (state.read_time, state.reads_one_by_one)
        };
        let _turn = match one_by_one {
            true => Some(self.read_turn.lock().await),
            false => None,
        };
        tokio::time::sleep(time).await;
    }

    fn read(&self, index: u32) -> Option<bytes::Bytes> {
        let mut state = self.state.lock();
        let piece = state.staged.get(&index).cloned();
        state.reads += 1;
        state.missed_reads += u32::from(piece.is_none());
        if state.spoilt_by_read == Some((index, state.staged.len())) {
            state.spoilt_by_read = None;
            state
                .staged
                .insert(index, bytes::Bytes::from_static(b"rotten"));
            state.spoilt_since.insert(index, time::Instant::now());
        }
        piece
    }

    /// Whether each order found all pieces of its version, whole.
    pub(crate) fn was_whole(&self, origin: &origin::Origin) -> bool {
        let state = self.state.lock();
        !state.loaded.is_empty()
            && state.loaded.iter().all(|(version, staged)| {
                (0..origin.pieces()).all(|i| staged.get(&i) == Some(&origin.bytes(*version, i)))
            })
    }

    fn check(&self) -> Result<()> {
        match self.state.lock().is_down {
            true => Err(error_stack::Report::new(StageError::Backend)),
            false => Ok(()),
        }
    }
}

#[async_trait::async_trait]
impl lift_stage::StagePort for Engine {
    async fn report(&self) -> Result<EngineReport> {
        self.check()?;
        let version = self.version();
        let models = (version > 0).then(|| lift_fleet::LoadedModel {
            name: String::from("m"),
            version,
        });
        let requests = self.state.lock().requests;
        Ok(EngineReport {
            running: requests,
            waiting: requests,
            models: models.into_iter().collect(),
            ..EngineReport::default()
        })
    }

    async fn staged(&self, _: &str) -> Result<Vec<u32>> {
        self.check()?;
        let state = self.state.lock();
        let staged = state.staged.keys().chain(&state.odd_positions);
        Ok(staged.copied().collect())
    }

    async fn get_piece(&self, _: &str, index: u32, _: usize) -> Result<Option<bytes::Bytes>> {
        self.check()?;
        let piece = self.read(index);
        self.take_read_time().await;
        if self.is_read_held(index) {
            self.read_hold.pass().await;
        }
        Ok(piece)
    }

    async fn put_piece(&self, _: &str, index: u32, bytes: bytes::Bytes) -> Result<()> {
        self.check()?;
        let engine = self.clone();
        let writing = tokio::spawn(async move {
            let is_held = engine.state.lock().held_write == Some(index);
            if is_held {
                engine.write_hold.pass().await;
            }
            engine.write(index, bytes);
        });
        writing.await.unwrap();
        Ok(())
    }

    async fn load(&self, _: &str, version: u64) -> Result<OrderAnswer> {
        self.check()?;
        if std::mem::take(&mut self.state.lock().refusals) > 0 {
            return Ok(OrderAnswer::Conflict);
        }
        let engine = self.clone();
        let ordering = tokio::spawn(async move {
            engine.order_hold.pass().await;
            engine.accept(version);
        });
        ordering.await.unwrap();
        Ok(OrderAnswer::Begun)
    }
}
