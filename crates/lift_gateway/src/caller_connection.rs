//! A connection of a caller.

use std::{convert, sync, time};

use hyper_util::rt;
use sync::atomic;

use crate::{http_server, shared};

/// TCP user timeout: how long bytes sent to a caller may stay unacknowledged before the connection
/// is closed.
const UNACKNOWLEDGED_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Time for which a connection that was just accepted waits for its first request although the
/// gateway is closing connections. The request may have arrived together with the connection.
const FIRST_REQUEST_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Smallest buffer for the head of a request that the HTTP library allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Serves one connection until the caller closes it. Once `draining` is cancelled, it is closed
/// after the request in progress, or at once if it is idle between two requests. A connection
/// without any request yet may still send its first one: the HTTP library would close it even if
/// that request has already arrived.
pub(crate) async fn serve(
    shared: sync::Arc<shared::Shared>,
    stream: tokio::net::TcpStream,
    draining: tokio_util::sync::CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let table = shared.fleet.table();
    let limits = table.map(|t| *t.limits()).unwrap_or_default();
    let first_request = sync::Arc::new(FirstRequest::default());
    let seen = sync::Arc::clone(&first_request);
    let service = hyper::service::service_fn(move |req| {
        seen.record();
        let shared = sync::Arc::clone(&shared);
        async move { Ok::<_, convert::Infallible>(http_server::handle(shared, req).await) }
    });
    // The library measures the time to read a head from the end of the previous request, so the
    // timeout also limits how long a connection may be idle.
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = async {
        draining.cancelled().await;
        let _ = tokio::time::timeout(FIRST_REQUEST_TIMEOUT, first_request.wait()).await;
    };
    // An error concerns only this connection, which is closed.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = closing => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// Whether the first request of a connection has arrived.
#[derive(Debug, Default)]
struct FirstRequest {
    has_arrived: atomic::AtomicBool,
    arrived: tokio::sync::Notify,
}

impl FirstRequest {
    fn record(&self) {
        if !self.has_arrived.swap(true, atomic::Ordering::AcqRel) {
            self.arrived.notify_one();
        }
    }

    async fn wait(&self) {
        if !self.has_arrived.load(atomic::Ordering::Acquire) {
            self.arrived.notified().await;
        }
    }
}
