//! Stand-in of the part of an engine that takes orders about weights.

use std::{io, time};

use io::Read as _;
use tokio::sync as tokio_sync;

use crate::{engine_fault, engine_token_check};

/// Bytes read at a time while a file is hashed.
const READ_BYTES: usize = 256 * 1024;

/// An engine that loads a file on order, after comparing it with the hash in the order.
///
/// The answering part of the stand-in follows [`EngineOrders::loaded`].
#[derive(Debug)]
pub struct EngineOrders {
    check: engine_token_check::EngineTokenCheck,
    load_time: time::Duration,
    fault: parking_lot::Mutex<engine_fault::EngineFault>,
    status: parking_lot::Mutex<lift_border::EngineStatus>,
    loaded: tokio_sync::watch::Sender<Option<lift_types::VersionId>>,
    orders: std::sync::atomic::AtomicU64,
}

type Result<T> = std::result::Result<T, error_stack::Report<lift_border::EngineError>>;

impl EngineOrders {
    /// Starts with nothing loaded. Each load takes `load_time` besides reading the file.
    pub fn new(check: engine_token_check::EngineTokenCheck, load_time: time::Duration) -> Self {
        Self {
            check,
            load_time,
            fault: parking_lot::Mutex::default(),
            status: parking_lot::Mutex::new(lift_border::EngineStatus {
                version: None,
                whole: None,
                fencing: 0,
                in_progress: 0,
            }),
            loaded: tokio_sync::watch::channel(None).0,
            orders: std::sync::atomic::AtomicU64::new(0),
        }
    }

    /// Follows the version that is loaded.
    pub fn loaded(&self) -> tokio_sync::watch::Receiver<Option<lift_types::VersionId>> {
        self.loaded.subscribe()
    }

    /// Sets the fault of later orders. [`engine_fault::EngineFault::Die`] takes effect at once.
    pub fn set_fault(&self, fault: engine_fault::EngineFault) {
        *self.fault.lock() = fault;
        if fault == engine_fault::EngineFault::Die {
            self.set(None, None, None);
        }
    }

    /// Number of load orders that arrived.
    pub fn orders(&self) -> u64 {
        self.orders.load(std::sync::atomic::Ordering::Relaxed)
    }

    fn set(
        &self,
        version: Option<lift_types::VersionId>,
        whole: Option<lift_types::ChunkHash>,
        fencing: Option<lift_types::FencingToken>,
    ) -> lift_border::EngineStatus {
        let mut status = self.status.lock();
        status.version = version.clone();
        status.whole = whole;
        status.fencing = fencing.unwrap_or(status.fencing);
        self.loaded.send_replace(version);
        status.clone()
    }

    fn check_token(&self, fencing: lift_types::FencingToken) -> Result<()> {
        let mut status = self.status.lock();
        let highest = status.fencing;
        if fencing < highest && self.check == engine_token_check::EngineTokenCheck::Refuse {
            return Err(error_stack::Report::new(lift_border::EngineError::Stale {
                highest,
            }));
        }
        status.fencing = fencing;
        Ok(())
    }

    fn check_alive(&self) -> Result<()> {
        if *self.fault.lock() == engine_fault::EngineFault::Die {
            return Err(error_stack::Report::new(
                lift_border::EngineError::Unreachable,
            ));
        }
        Ok(())
    }
}

#[async_trait::async_trait]
impl lift_border::Engine for EngineOrders {
    async fn load(&self, order: lift_border::LoadOrder) -> Result<lift_border::EngineStatus> {
        self.orders
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        self.check_alive()?;
        if *self.fault.lock() == engine_fault::EngineFault::Refuse {
            return Err(refused("the engine is told to refuse"));
        }
        self.check_token(order.fencing)?;
        self.set(None, None, Some(order.fencing));
        let file = order.file.clone();
        let hash = tokio::task::spawn_blocking(move || hash_file(&file)).await;
        tokio::time::sleep(self.load_time).await;
        self.check_alive()?;
        let Ok(Ok(hash)) = hash else {
            return Err(refused("the file can't be read"));
        };
        if hash != order.whole {
            return Err(refused("the file does not match its hash"));
        }
        Ok(self.set(Some(order.version), Some(hash), Some(order.fencing)))
    }

    async fn unload(&self, fencing: lift_types::FencingToken) -> Result<lift_border::EngineStatus> {
        self.check_alive()?;
        self.check_token(fencing)?;
        Ok(self.set(None, None, Some(fencing)))
    }

    async fn status(&self) -> Result<lift_border::EngineStatus> {
        self.check_alive()?;
        Ok(self.status.lock().clone())
    }
}

fn refused(reason: &str) -> error_stack::Report<lift_border::EngineError> {
    error_stack::Report::new(lift_border::EngineError::Refused {
        reason: String::from(reason),
    })
}

fn hash_file(path: &std::path::Path) -> io::Result<lift_types::ChunkHash> {
    let mut file = std::fs::File::open(path)?;
    let mut hasher = blake3::Hasher::new();
    let mut buf = vec![0; READ_BYTES];
    loop {
        let read = file.read(&mut buf)?;
        if read == 0 {
            return Ok(lift_types::ChunkHash(*hasher.finalize().as_bytes()));
        }
        hasher.update(&buf[..read]);
    }
}
