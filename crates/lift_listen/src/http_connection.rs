//! An HTTP connection of a caller.

use std::{pin, sync, time};

use hyper::{body, server::conn::http1, service};
use hyper_util::rt;

use crate::first_request;

/// Time for which a connection that was accepted waits for its first request although the process
/// is closing connections. The request may have arrived together with the connection.
const FIRST_REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Smallest buffer for the head of a request that the HTTP library allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Time for which a connection of an operator may be idle, or its head incomplete.
const OPERATOR_IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(75);

/// Maximum size of the head of an operator's request, in bytes.
const OPERATOR_HEAD_BYTES: usize = 16 * 1024;

/// Receive buffer of a caller's connection, in bytes; the kernel doubles it for its own records.
/// Carries 40 Mbit/s at a round trip of 6 ms. Bytes that arrived and were not read need memory of
/// the host, and the kernel would let them grow to megabytes.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;

type Error = Box<dyn std::error::Error + Send + Sync>;

/// Default timeout of a request's head.
const DEFAULT_HEAD_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Default maximum size of a request's head, in bytes.
const DEFAULT_HEAD_BYTES: usize = 32 * 1024;

/// Default TCP user timeout.
const DEFAULT_UNACKNOWLEDGED_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// How to serve an HTTP connection of a caller. Each limit has a default and a setter.
#[derive(Clone, Copy, Debug)]
pub struct HttpConnection {
    head_timeout: time::Duration,
    max_head_bytes: usize,
    max_headers: Option<usize>,
    unacknowledged_timeout: time::Duration,
}

impl HttpConnection {
    /// How to serve operators, monitors and backend servers. They may keep connections open between
    /// calls that are a minute apart; a crowd of idle ones is bounded by the listener.
    pub fn for_operators() -> Self {
        Self::default()
            .head_timeout(OPERATOR_IDLE_TIMEOUT)
            .max_head_bytes(OPERATOR_HEAD_BYTES)
    }

    /// Sets the timeout of a request's head, measured from the end of the previous request. It
    /// therefore also limits how long a connection may be idle.
    pub fn head_timeout(mut self, timeout: time::Duration) -> Self {
        self.head_timeout = timeout;
        self
    }

    /// Sets the maximum size of a request's head in bytes, at least 8 KiB.
    pub fn max_head_bytes(mut self, bytes: usize) -> Self {
        self.max_head_bytes = bytes.max(MIN_BUFFER_BYTES);
        self
    }

    /// Sets the maximum number of headers of a request. The HTTP library has a default.
    pub fn max_headers(mut self, count: usize) -> Self {
        self.max_headers = Some(count);
        self
    }

    /// Sets the TCP user timeout: how long bytes sent to the caller may stay unacknowledged before
    /// the connection is closed.
    pub fn unacknowledged_timeout(mut self, timeout: time::Duration) -> Self {
        self.unacknowledged_timeout = timeout;
        self
    }

    /// Serves `stream` until the caller closes it. Once `draining` is cancelled, it is closed after
    /// the request in progress, or at once if it is idle between two requests. A connection without
    /// any request yet may still send its first one: the HTTP library would close it even if that
    /// request has already arrived.
    pub async fn serve<S, B>(
        self,
        stream: tokio::net::TcpStream,
        service: S,
        draining: tokio_util::sync::CancellationToken,
    ) where
        S: service::Service<http::Request<body::Incoming>, Response = http::Response<B>>,
        S::Error: Into<Error>,
        B: body::Body + 'static,
        B::Error: Into<Error>,
    {
        let _ = stream.set_nodelay(true);
        let timeout = Some(self.unacknowledged_timeout);
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(timeout);
        let _ = socket2::SockRef::from(&stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        let first_request = sync::Arc::new(first_request::FirstRequest::default());
        let seen = sync::Arc::clone(&first_request);
        let service = service::service_fn(move |req| {
            seen.record();
            service.call(req)
        });
        let connection = self
            .builder()
            .serve_connection(rt::TokioIo::new(stream), service);
        let mut connection = pin::pin!(connection);
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

    fn builder(&self) -> http1::Builder {
        let mut builder = http1::Builder::new();
        builder
            .timer(rt::TokioTimer::new())
            .header_read_timeout(self.head_timeout)
            .max_buf_size(self.max_head_bytes);
        if let Some(max_headers) = self.max_headers {
            builder.max_headers(max_headers);
        }
        builder
    }
}

impl Default for HttpConnection {
    fn default() -> Self {
        Self {
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            max_head_bytes: DEFAULT_HEAD_BYTES,
            max_headers: None,
            unacknowledged_timeout: DEFAULT_UNACKNOWLEDGED_TIMEOUT,
        }
    }
}
