//! One host of the burst experiment.

use std::{net, sync, time};

use lift_border::Engine as _;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    sync as tokio_sync,
};

/// Bytes of a live request: its number and a short prompt.
pub(crate) const REQUEST_BYTES: usize = 512;

/// Bytes of the answer to a live request.
pub(crate) const ANSWER_BYTES: usize = 2_048;

/// Shortest time of an answer. The longest is 16 ms more.
const ENGINE_TIME: time::Duration = time::Duration::from_millis(60);

/// Outcome of a live request in the first byte of its answer.
pub(crate) const ANSWERED: u8 = 0;

/// The host was switching; the request did not run.
pub(crate) const NOT_RUN: u8 = 1;

/// The weights changed during the request.
pub(crate) const MIXED: u8 = 2;

/// Request side and engine of a host. It is a small stand-in of the agent's request server,
/// on the same links as the chunks.
#[derive(Debug)]
pub(crate) struct BurstHost {
    pub(crate) location: lift_types::Location,
    pub(crate) ip: net::IpAddr,
    pub(crate) engine: sync::Arc<lift_standin::EngineOrders>,
    serving: parking_lot::Mutex<Option<lift_types::ServingVersion>>,
    in_progress: tokio_sync::watch::Sender<u32>,
}

impl BurstHost {
    pub(crate) fn new(location: lift_types::Location, ip: net::IpAddr) -> Self {
        let check = lift_standin::EngineTokenCheck::Refuse;
        Self {
            location,
            ip,
            engine: sync::Arc::new(lift_standin::EngineOrders::new(check, time::Duration::ZERO)),
            serving: parking_lot::Mutex::new(None),
            in_progress: tokio_sync::watch::channel(0).0,
        }
    }

    /// Follows the number of live requests in progress.
    pub(crate) fn live_requests(&self) -> tokio_sync::watch::Receiver<u32> {
        self.in_progress.subscribe()
    }

    /// Answers live requests until the listener fails.
    pub(crate) async fn listen(self: sync::Arc<Self>, listener: tokio::net::TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let own = self.clone();
            tokio::spawn(async move {
                let _ = own.answer_all(stream).await;
            });
        }
    }

    async fn answer_all(&self, mut stream: tokio::net::TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut request = [0; REQUEST_BYTES];
        loop {
            stream.read_exact(&mut request).await?;
            let mut answer = [0; ANSWER_BYTES];
            answer[0] = self.answer(request[8]).await;
            answer[1..9].copy_from_slice(&request[..8]);
            stream.write_all(&answer).await?;
        }
    }

    /// Runs one request, pinned to the serving version.
    async fn answer(&self, variation_ms: u8) -> u8 {
        let pinned = {
            let serving = self.serving.lock();
            if serving.is_some() {
                self.in_progress.send_modify(|count| *count += 1);
            }
            serving.clone()
        };
        let Some(pinned) = pinned else {
            return NOT_RUN;
        };
        let before = self.engine.status().await.ok();
        let variation = time::Duration::from_millis(u64::from(variation_ms % 16));
        tokio::time::sleep(ENGINE_TIME + variation).await;
        let after = self.engine.status().await.ok();
        self.in_progress.send_modify(|count| *count -= 1);
        let is_whole = [before, after].iter().all(|status| {
            let version = status.as_ref().and_then(|status| status.version.as_ref());
            version == Some(&pinned.version)
        });
        if is_whole { ANSWERED } else { MIXED }
    }
}

#[async_trait::async_trait]
impl lift_border::ServingControl for BurstHost {
    async fn close_and_drain(&self, limit: time::Duration) -> usize {
        *self.serving.lock() = None;
        let mut in_progress = self.in_progress.subscribe();
        let drained = in_progress.wait_for(|count| *count == 0);
        if let Ok(Ok(_)) = tokio::time::timeout(limit, drained).await {
            return 0;
        }
        *self.in_progress.borrow() as usize
    }

    fn open(&self, version: lift_types::ServingVersion) {
        *self.serving.lock() = Some(version);
    }

    fn serving(&self) -> Option<lift_types::ServingVersion> {
        self.serving.lock().clone()
    }
}
