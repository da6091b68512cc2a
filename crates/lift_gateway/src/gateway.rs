//! A running gateway.

use std::{net, sync, time};

use error_stack::ResultExt as _;
use sync::atomic;

use crate::{
    gateway_builder, gateway_error, gateway_observer, http_server, load_receiver, readiness, shared,
};

/// Time between two rounds in which connections and records without use are dropped.
const TIDY_INTERVAL: time::Duration = time::Duration::from_millis(500);

type Result<T> = std::result::Result<T, error_stack::Report<gateway_error::GatewayError>>;

/// Serves callers until it is stopped.
#[derive(Debug)]
pub struct Gateway {
    shared: sync::Arc<shared::Shared>,
    feed: lift_feed::FeedClient,
    serving: parking_lot::Mutex<Option<tokio::task::JoinHandle<()>>>,
    closing: tokio_util::sync::CancellationToken,
    _stop: tokio_util::sync::DropGuard,
}

impl Gateway {
    /// Collects the settings.
    pub fn builder() -> gateway_builder::GatewayBuilder {
        gateway_builder::GatewayBuilder::default()
    }

    pub(crate) async fn start(settings: gateway_builder::GatewayBuilder) -> Result<Self> {
        let missing = gateway_error::GatewayError::Missing;
        let node = settings.node.ok_or(missing("node"))?;
        let callers = settings.callers.ok_or(missing("callers"))?;
        let callers = listen(callers, "callers").await?;
        let ready = settings.readiness.ok_or(missing("readiness"))?;
        let ready = listen(ready, "readiness").await?;
        let reports = tokio::net::UdpSocket::bind(node.ports.loads(node.listen_host())).await;
        let reports =
            reports.change_context(gateway_error::GatewayError::Listen("load reports"))?;
        let shared = sync::Arc::new(shared::Shared::new(
            node.card.location.clone(),
            settings.limits,
            settings.dialect.ok_or(missing("dialect"))?,
            settings.regions,
            node.log.clone(),
            sync::Arc::clone(&node.counters),
            settings.latencies,
        ));
        let observer = gateway_observer::GatewayObserver {
            shared: sync::Arc::clone(&shared),
        };
        let keys = node.keys.clone();
        let feed = lift_feed::FeedClient::start(node, sync::Arc::new(observer));
        let stop = tokio_util::sync::CancellationToken::new();
        let closing = tokio_util::sync::CancellationToken::new();
        let receiving = load_receiver::run(sync::Arc::clone(&shared), reports, keys);
        tokio::spawn(stop.clone().run_until_cancelled_owned(receiving));
        let tidying = tidy(sync::Arc::clone(&shared));
        tokio::spawn(stop.clone().run_until_cancelled_owned(tidying));
        let router = readiness::router(sync::Arc::clone(&shared));
        let answering = async move { axum::serve(ready, router).await };
        tokio::spawn(stop.clone().run_until_cancelled_owned(answering));
        let serving = http_server::serve(sync::Arc::clone(&shared), callers, closing.clone());
        Ok(Self {
            shared,
            feed,
            serving: parking_lot::Mutex::new(Some(tokio::spawn(serving))),
            closing,
            _stop: stop.drop_guard(),
        })
    }

    /// Replaces the seeds, for instance after a change of the settings.
    pub fn set_seeds(&self, seeds: &[net::SocketAddr]) {
        self.feed.set_seeds(seeds);
    }

    /// Stops gracefully within `grace`: the load balancer is told at once; requests are taken
    /// until it has noticed; then connections are closed as their requests end. Returns
    /// whether all requests have ended.
    pub async fn stop(&self, grace: time::Duration) -> bool {
        let started = lift_clock::now();
        self.shared
            .is_stopping
            .store(true, atomic::Ordering::Release);
        let linger = self.shared.limits.linger.min(grace / 2);
        tokio::time::sleep(linger).await;
        self.closing.cancel();
        let Some(serving) = self.serving.lock().take() else {
            return true;
        };
        let spent = lift_clock::now().saturating_duration_since(started);
        let left = grace.saturating_sub(spent);
        tokio::time::timeout(left, serving).await.is_ok()
    }
}

async fn listen(address: net::SocketAddr, what: &'static str) -> Result<tokio::net::TcpListener> {
    let listener = tokio::net::TcpListener::bind(address).await;
    listener.change_context(gateway_error::GatewayError::Listen(what))
}

async fn tidy(shared: sync::Arc<shared::Shared>) {
    loop {
        tokio::time::sleep(TIDY_INTERVAL).await;
        let now = lift_clock::now();
        shared.pool.tidy(now);
        shared.loads.tidy(now);
    }
}
