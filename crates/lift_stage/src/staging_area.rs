//! Changes of the staging area of a backend server, and orders to load it.

use std::{sync, time};

use tokio::sync as tokio_sync;

use crate::{
    inventory, load_permit, order_answer, piece_checks, shared, stage_error, stage_port, staged,
};

/// Time in which a backend server may still carry out a request that has ended without an answer.
/// A sound server can be silent for a second or so before it goes on.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(2);

/// Writes at once, those that wait for a late answer included. It bounds the memory that their
/// pieces take.
const MAX_WRITES: usize = 16;

type Result<T> = std::result::Result<T, error_stack::Report<stage_error::StageError>>;

/// The only way to change the staging area and to have it loaded.
///
/// The backend server overwrites pieces unchecked and loads what lies there when it accepts an
/// order. So a write that is still on its way must not arrive between the last look at the pieces
/// and the order, and an order that is on its way must not be accepted after the pieces were
/// replaced. Neither is given up once it was sent: writes share the area, an order has it alone,
/// and both keep it until the server has answered or can't act on them any more.
///
/// See `docs/incidents/late-pieces.md`.
#[derive(Debug)]
pub(crate) struct StagingArea {
    stage: sync::Arc<dyn stage_port::StagePort>,
    inventory: sync::Arc<inventory::Inventory>,
    /// Shared by the writes in progress, and held alone by an order.
    access: sync::Arc<tokio_sync::RwLock<()>>,
    writes: sync::Arc<tokio_sync::Semaphore>,
    /// When nothing that an earlier process of this agent has sent can take effect any more.
    inherited_until: time::Instant,
    log: slog::Logger,
    counters: sync::Arc<lift_obs::Counters>,
}

impl StagingArea {
    /// Takes over the staging area from an earlier process, which may have left requests behind.
    pub(crate) fn new(
        stage: sync::Arc<dyn stage_port::StagePort>,
        inventory: sync::Arc<inventory::Inventory>,
        log: slog::Logger,
        counters: sync::Arc<lift_obs::Counters>,
    ) -> Self {
        Self {
            stage,
            inventory,
            access: sync::Arc::default(),
            writes: sync::Arc::new(tokio_sync::Semaphore::new(MAX_WRITES)),
            inherited_until: lift_clock::now() + SETTLE_TIME,
            log,
            counters,
        }
    }

    /// Waits until no order is on its way and nothing that an earlier process has sent can take
    /// effect any more, so that pieces may be replaced.
    pub(crate) async fn wait_until_writable(&self) {
        self.wait_for_earlier_process().await;
        let _ = self.access.read().await;
    }

    /// Writes a piece of the version that `current` holds, and adds it to that version. It gives up
    /// waiting after the usual time of a request; the write may then still take effect.
    ///
    /// # Errors
    ///
    /// Returns [`stage_error::StageError::Superseded`] if `version` is no longer the current one,
    /// which is checked after any wait, and else what the backend server made of the write.
    pub(crate) async fn write(
        &self,
        current: &tokio_sync::watch::Sender<Option<sync::Arc<staged::Staged>>>,
        version: &sync::Arc<staged::Staged>,
        index: lift_types::ChunkIndex,
        bytes: bytes::Bytes,
    ) -> Result<()> {
        let writing = async {
            let closed = |_| error_stack::Report::new(stage_error::StageError::Backend);
            let slot = sync::Arc::clone(&self.writes).acquire_owned().await;
            let slot = slot.map_err(closed)?;
            let access = sync::Arc::clone(&self.access).read_owned().await;
            let is_current = |s: &sync::Arc<staged::Staged>| sync::Arc::ptr_eq(s, version);
            if !current.borrow().as_ref().is_some_and(is_current) {
                let superseded = stage_error::StageError::Superseded;
                return Err(error_stack::Report::new(superseded));
            }
            let stage = sync::Arc::clone(&self.stage);
            let inventory = sync::Arc::clone(&self.inventory);
            let version = sync::Arc::clone(version);
            let putting = async move {
                let model = &version.manifest.model;
                inventory.forget(model, index);
                stage.put_piece(model, index, bytes).await?;
                if let Some(digest) = version.manifest.digests.get(index as usize) {
                    inventory.record(model, index, *digest);
                }
                version.add_fetched(index);
                Ok(())
            };
            self.carry_out("write", (access, slot), putting).await
        };
        shared::within(shared::BACKEND_TIMEOUT, writing).await
    }

    /// Waits until all writes have ended, and keeps others back until the permit is dropped.
    pub(crate) async fn lock_for_load(&self) -> load_permit::LoadPermit {
        self.wait_for_earlier_process().await;
        load_permit::LoadPermit::new(sync::Arc::clone(&self.access).write_owned().await)
    }

    /// Orders the backend server to load what is staged as `version`. It gives up waiting after the
    /// usual time of a request; the order may then still be accepted.
    ///
    /// # Errors
    ///
    /// Returns [`stage_error::StageError::CheckTooOld`] if `checks` allow no order at the moment
    /// of sending, and else an error if no answer came or it made no sense.
    pub(crate) async fn load(
        &self,
        permit: load_permit::LoadPermit,
        model: &str,
        version: lift_fleet::WeightsVersion,
        checks: piece_checks::PieceChecks,
    ) -> Result<order_answer::OrderAnswer> {
        let stage = sync::Arc::clone(&self.stage);
        let model = String::from(model);
        let (log, counters) = (self.log.clone(), sync::Arc::clone(&self.counters));
        let ordering = async move {
            // Nothing comes between this look at the clock and the sending.
            let now = lift_clock::now();
            let age_ms = checks.age(now).map(|age| age.as_millis() as u64);
            if !checks.allows_order(now) {
                counters.increment("agent.check_too_old");
                slog::warn!(log, "load not ordered, check of the pieces too old";
                    "model" => model, "version" => version, "check_age_ms" => age_ms);
                let too_old = stage_error::StageError::CheckTooOld;
                return Err(error_stack::Report::new(too_old));
            }
            let answer = stage.load(&model, version).await;
            let took = lift_clock::now().saturating_duration_since(now);
            let is_outlived = checks.is_outlived(now + took);
            slog::info!(log, "order to load ended"; "model" => model, "version" => version,
                "answered" => answer.is_ok(), "check_age_ms" => age_ms,
                "took_ms" => took.as_millis() as u64, "check_outlived" => is_outlived);
            if is_outlived {
                counters.increment("agent.check_outlived");
            }
            answer
        };
        let ordering = self.carry_out("order", permit, ordering);
        shared::within(shared::BACKEND_TIMEOUT, ordering).await
    }

    async fn wait_for_earlier_process(&self) {
        let left = self.inherited_until;
        let left = left.saturating_duration_since(lift_clock::now());
        tokio::time::sleep(left).await;
    }

    /// Carries out a request to its end, also if nobody waits for it any more, and keeps `access`
    /// for as long as the backend server may act on it.
    async fn carry_out<T: Send + 'static>(
        &self,
        what: &'static str,
        access: impl Send + 'static,
        req: impl Future<Output = Result<T>> + Send + 'static,
    ) -> Result<T> {
        let (tx, rx) = tokio_sync::oneshot::channel();
        let (log, counters) = (self.log.clone(), sync::Arc::clone(&self.counters));
        tokio::spawn(async move {
            let result = req.await;
            let error = result
                .as_ref()
                .err()
                .map(error_stack::Report::current_context);
            let is_settled = error.is_none_or(stage_error::StageError::is_settled);
            // The receiver is gone if the caller has given up waiting.
            let _ = tx.send(result);
            if !is_settled {
                counters.increment("agent.unanswered");
                slog::info!(log, "staging area waits for a request without an answer";
                    "request" => what, "wait_ms" => SETTLE_TIME.as_millis() as u64);
                tokio::time::sleep(SETTLE_TIME).await;
            }
            drop(access);
        });
        let unanswered = |_| error_stack::Report::new(stage_error::StageError::Backend);
        rx.await.map_err(unanswered)?
    }
}
