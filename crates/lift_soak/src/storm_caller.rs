//! Callers of a retry storm.

use std::{net, sync, time};

use sync::atomic;

use rand::{RngExt as _, SeedableRng as _};

use crate::{request_kind, retry_book, soak_caller};

/// Time between two requests.
const INTERVAL: time::Duration = time::Duration::from_micros(16_667);

/// Time for which a caller waits.
const PATIENCE: time::Duration = time::Duration::from_secs(3);

/// What all callers share.
#[derive(Debug)]
pub(crate) struct StormCallers {
    pub(crate) book: sync::Arc<retry_book::RetryBook>,
    pub(crate) gateways: Vec<net::SocketAddr>,
    pub(crate) served: atomic::AtomicU64,
}

/// Sends requests at a steady rate, each to a random gateway, until the runtime ends.
pub(crate) async fn run(callers: sync::Arc<StormCallers>, seed: u64) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let mut ticks = tokio::time::interval(INTERVAL);
    for number in 0_u64.. {
        ticks.tick().await;
        let gateway = callers.gateways[rng.random_range(0..callers.gateways.len())];
        let callers = sync::Arc::clone(&callers);
        tokio::spawn(async move {
            let exchange = exchange(&callers.book, gateway, format!("q{seed}-{number}"));
            let answered = tokio::time::timeout(PATIENCE, exchange).await;
            if answered.ok().flatten().is_some_and(|s| s.is_success()) {
                callers.served.fetch_add(1, atomic::Ordering::Relaxed);
            }
        });
    }
}

/// Sends one request, which counts once its connection is open. Returns the status of the answer.
async fn exchange(
    book: &retry_book::RetryBook,
    gateway: net::SocketAddr,
    id: String,
) -> Option<http::StatusCode> {
    let mut sender = soak_caller::connect(gateway).await?;
    let head = lift_peer::CallerText {
        host: soak_caller::HOST,
        id: &id,
        key: soak_caller::LASTING_KEY,
        patience: PATIENCE,
        model: None,
    };
    let prefix = request_kind::RequestKind::Read.prefix();
    let req = http::Request::post(format!("{prefix}{id}"));
    let req = head.write(req).body(soak_caller::Body::default()).ok()?;
    sender.ready().await.ok()?;
    book.sent();
    let reply = sender.send_request(req).await.ok()?;
    Some(reply.status())
}
