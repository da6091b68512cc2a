//! Accepts connections of the administration API.

use std::{sync, time};

use hyper_util::{rt, server::conn::auto, service};
use tokio::{io, net, sync as tokio_sync};
use tokio_util::{sync::CancellationToken, task};

/// Connections that are open at once. Operators and monitors need few.
const MAX_CONNECTIONS: usize = 256;

/// Longest time of a TLS handshake, so that a silent peer does not hold a connection.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Longest time until the head of a request has come.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Longest head of a request, in bytes. The HTTP library would take 400 KB of each connection.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Pause after a failed accept, as when the process has no free file descriptor.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// A listening socket, with TLS where it is configured.
pub(crate) struct Listener {
    socket: net::TcpListener,
    tls: Option<tokio_rustls::TlsAcceptor>,
    routes: axum::Router,
    log: slog::Logger,
}

impl Listener {
    /// Joins the parts.
    pub(crate) fn new(
        socket: net::TcpListener,
        tls: Option<tokio_rustls::TlsAcceptor>,
        routes: axum::Router,
        log: slog::Logger,
    ) -> Self {
        Self {
            socket,
            tls,
            routes,
            log,
        }
    }

    /// Accepts connections until `stopping`. Each runs in a task of `tasks`.
    pub(crate) async fn run(self, stopping: CancellationToken, tasks: task::TaskTracker) {
        let slots = sync::Arc::new(tokio_sync::Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else {
                return;
            };
            let accepted = tokio::select! {
                () = stopping.cancelled() => return,
                accepted = self.socket.accept() => accepted,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    slog::warn!(self.log, "accept failed"; "error" => %e);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let (tls, routes) = (self.tls.clone(), self.routes.clone());
            let (log, stopping) = (self.log.clone(), stopping.clone());
            tasks.spawn(async move {
                serve(stream, tls, routes, stopping, log).await;
                drop(slot);
            });
        }
    }
}

async fn serve(
    stream: net::TcpStream,
    tls: Option<tokio_rustls::TlsAcceptor>,
    routes: axum::Router,
    stopping: CancellationToken,
    log: slog::Logger,
) {
    let Some(tls) = tls else {
        return serve_http(stream, routes, stopping, log).await;
    };
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, tls.accept(stream)).await {
        Ok(Ok(stream)) => serve_http(stream, routes, stopping, log).await,
        Ok(Err(e)) => slog::debug!(log, "TLS handshake failed"; "error" => %e),
        Err(_) => slog::debug!(log, "TLS handshake timed out"),
    }
}

async fn serve_http<S>(
    stream: S,
    routes: axum::Router,
    stopping: CancellationToken,
    log: slog::Logger,
) where
    S: io::AsyncRead + io::AsyncWrite + Unpin + Send + 'static,
{
    let mut builder = auto::Builder::new(rt::TokioExecutor::new()).http1_only();
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .max_buf_size(MAX_HEAD_BYTES)
        .header_read_timeout(HEAD_TIMEOUT);
    let service = service::TowerToHyperService::new(routes);
    let conn = builder.serve_connection(rt::TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let result = tokio::select! {
        result = conn.as_mut() => result,
        () = stopping.cancelled() => {
            conn.as_mut().graceful_shutdown();
            conn.await
        }
    };
    if let Err(e) = result {
        slog::debug!(log, "connection ended"; "error" => %e);
    }
}
