//! HTTP server for callers.

use std::{sync, time};

use hyper_util::{rt, server, service};

use crate::shared;

/// Pause after a failure to accept a connection, such as a lack of file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Accepts connections until `closing` is cancelled. Then closes idle connections, waits until the
/// others have finished their requests, and cancels the `stopped` token of the entry.
pub(crate) async fn serve(
    shared: sync::Arc<shared::Shared>,
    listener: tokio::net::TcpListener,
    router: axum::Router,
    closing: tokio_util::sync::CancellationToken,
) {
    let graceful = server::graceful::GracefulShutdown::new();
    let connection_slots =
        sync::Arc::new(tokio::sync::Semaphore::new(shared.limits.max_connections));
    loop {
        let slot = sync::Arc::clone(&connection_slots).acquire_owned();
        let accept = async {
            let slot = slot.await;
            (slot, listener.accept().await)
        };
        let (slot, accepted) = tokio::select! {
            accepted = accept => accepted,
            () = closing.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let timeout = Some(shared.limits.write_timeout);
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(timeout);
        let service = service::TowerToHyperService::new(router.clone());
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(rt::TokioTimer::new())
            .header_read_timeout(shared.limits.read_timeout)
            .max_headers(shared.limits.max_headers)
            .max_buf_size(shared.limits.max_head_bytes)
            .serve_connection(rt::TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        let stopped = shared.stopped.clone();
        tokio::spawn(async move {
            let _slot = slot;
            tokio::select! {
                _ = connection => {}
                () = stopped.cancelled() => {}
            }
        });
    }
    graceful.shutdown().await;
    shared.stopped.cancel();
}
