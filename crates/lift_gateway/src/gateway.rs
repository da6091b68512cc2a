//! A running gateway.

use std::{net, sync, time};

use error_stack::ResultExt as _;
use sync::atomic;

use crate::{
    gateway_builder, gateway_error, gateway_observer, http_server, load_receiver, readiness, shared,
};

/// Time between two removals of unused connections and records.
const CLEANUP_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Time before the end of a graceful stop in which callers get their last answers.
const LAST_ANSWER_TIME: time::Duration = time::Duration::from_millis(100);

/// Connections of load balancers that are open at once.
const MAX_READINESS_CONNECTIONS: usize = 128;

type Result<T> = std::result::Result<T, error_stack::Report<gateway_error::GatewayError>>;

/// A gateway that serves callers until it is stopped.
#[derive(Debug)]
pub struct Gateway {
    shared: sync::Arc<shared::Shared>,
    feed: sync::Arc<lift_feed::FeedClient>,
    serving: parking_lot::Mutex<Option<tokio::task::JoinHandle<()>>>,
    draining: tokio_util::sync::CancellationToken,
    _stop: tokio_util::sync::DropGuard,
}

impl Gateway {
    /// Creates a builder that collects the settings.
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
        let shared = shared::Shared::new(
            node.card.location.clone(),
            settings.limits,
            settings.dialect.ok_or(missing("dialect"))?,
            settings.regions,
            node.log.clone(),
            sync::Arc::clone(&node.counters),
            settings.latencies,
        );
        let shared = sync::Arc::new(match settings.budget {
            Some(budget) => shared.with_budget(budget),
            None => shared,
        });
        let observer = gateway_observer::GatewayObserver {
            shared: sync::Arc::clone(&shared),
        };
        let keys = node.keys.clone();
        let feed = lift_feed::FeedClient::start(node, sync::Arc::new(observer));
        let feed = sync::Arc::new(feed);
        let stop = tokio_util::sync::CancellationToken::new();
        let draining = tokio_util::sync::CancellationToken::new();
        let receiving = load_receiver::run(sync::Arc::clone(&shared), reports, keys);
        tokio::spawn(stop.clone().run_until_cancelled_owned(receiving));
        let reporting = report_sightings(sync::Arc::clone(&shared), sync::Arc::clone(&feed));
        tokio::spawn(stop.clone().run_until_cancelled_owned(reporting));
        let cleaning = clean_up(sync::Arc::clone(&shared));
        tokio::spawn(stop.clone().run_until_cancelled_owned(cleaning));
        let router = readiness::router(sync::Arc::clone(&shared));
        let idle = lift_listen::IdleConnections::new(
            "readiness",
            MAX_READINESS_CONNECTIONS,
            sync::Arc::clone(&shared.counters),
            shared.log.logger().clone(),
        );
        let limit = idle.accept_limit();
        let service = hyper_util::service::TowerToHyperService::new(router);
        let connection = lift_listen::HttpConnection::for_operators();
        let handler = lift_listen::ServiceConnections::new(service, connection, idle);
        let handler = sync::Arc::new(handler);
        let answering = lift_listen::serve(ready, limit, handler, stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(answering));
        let serving = http_server::serve(sync::Arc::clone(&shared), callers, draining.clone());
        Ok(Self {
            shared,
            feed,
            serving: parking_lot::Mutex::new(Some(tokio::spawn(serving))),
            draining,
            _stop: stop.drop_guard(),
        })
    }

    /// Replaces the seeds, for instance after a change of the settings.
    pub fn set_seeds(&self, seeds: &[net::SocketAddr]) {
        self.feed.set_seeds(seeds);
    }

    /// Stops gracefully within `grace`. The readiness check fails at once. New connections and
    /// requests are still accepted for the shutdown delay, which gives the load balancer time to
    /// notice; then each connection is closed after its request in progress. A request that comes
    /// after that is refused if it might not end in time. Shortly before the end, requests without
    /// an answer are answered that their outcome is not known. Returns whether all requests have
    /// finished in time. Any further call returns `true` after the delay.
    pub async fn stop(&self, grace: time::Duration) -> bool {
        let started = lift_clock::now();
        self.shared
            .is_stopping
            .store(true, atomic::Ordering::Release);
        let shutdown_delay = self.shared.limits.shutdown_delay.min(grace / 2);
        tokio::time::sleep(shutdown_delay).await;
        let end = started + grace.saturating_sub(LAST_ANSWER_TIME);
        let _ = self.shared.stop_end.set(end);
        self.draining.cancel();
        let Some(mut serving) = self.serving.lock().take() else {
            return true;
        };
        let left = end.saturating_duration_since(lift_clock::now());
        if tokio::time::timeout(left, &mut serving).await.is_ok() {
            return true;
        }
        self.shared.giving_up.cancel();
        let _ = tokio::time::timeout(LAST_ANSWER_TIME, serving).await;
        false
    }
}

async fn listen(address: net::SocketAddr, what: &'static str) -> Result<tokio::net::TcpListener> {
    let listener = tokio::net::TcpListener::bind(address).await;
    listener.change_context(gateway_error::GatewayError::Listen(what))
}

/// Passes the observations of this gateway on to the others.
async fn report_sightings(
    shared: sync::Arc<shared::Shared>,
    feed: sync::Arc<lift_feed::FeedClient>,
) {
    loop {
        feed.report_part_sightings(shared.parts.sightings.take().await);
    }
}

async fn clean_up(shared: sync::Arc<shared::Shared>) {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        let now = lift_clock::now();
        shared.pool.remove_expired(now);
        shared.loads.remove_idle(now);
        shared.update_cold_servers(now);
    }
}
