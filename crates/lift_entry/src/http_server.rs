//! HTTP server for callers.

use std::{pin, sync};

use hyper_util::service;
use tokio_util::sync as cancellation;

use crate::shared;

/// Accepts connections until `closing` is cancelled. Then closes idle connections, waits until the
/// others have finished their requests, and cancels the `stopped` token of the entry.
pub(crate) async fn serve(
    shared: sync::Arc<shared::Shared>,
    listener: tokio::net::TcpListener,
    router: axum::Router,
    closing: cancellation::CancellationToken,
) {
    let idle = lift_listen::IdleConnections::new(
        "callers",
        shared.limits.max_connections,
        sync::Arc::clone(&shared.counters),
        shared.logger.clone(),
    );
    let limit = idle.accept_limit();
    let handler = sync::Arc::new(CallerConnections {
        shared: sync::Arc::clone(&shared),
        router,
        idle,
    });
    lift_listen::serve(listener, limit, handler, closing).await;
    shared.stopped.cancel();
}

/// Serves connections until the entry has stopped.
#[derive(Debug)]
struct CallerConnections {
    shared: sync::Arc<shared::Shared>,
    router: axum::Router,
    idle: sync::Arc<lift_listen::IdleConnections>,
}

impl lift_listen::ConnectionHandler for CallerConnections {
    fn serve(
        &self,
        stream: tokio::net::TcpStream,
        draining: cancellation::CancellationToken,
    ) -> pin::Pin<Box<dyn Future<Output = ()> + Send>> {
        let limits = &self.shared.limits;
        let connection = lift_listen::HttpConnection::default()
            .head_timeout(limits.read_timeout)
            .max_head_bytes(limits.max_head_bytes)
            .max_headers(limits.max_headers)
            .unacknowledged_timeout(limits.write_timeout);
        let service = service::TowerToHyperService::new(self.router.clone());
        let stopped = self.shared.stopped.clone();
        let idle = sync::Arc::clone(&self.idle);
        let connections = lift_listen::ServiceConnections::new(service, connection, idle);
        Box::pin(async move {
            let serving = connections.serve(stream, draining);
            stopped.run_until_cancelled(serving).await;
        })
    }
}
