//! A connection to a backend server.

use std::{net, sync, time};

use hyper_util::rt;

use crate::{limited_stream, read_allowance};

/// Timeout for opening a connection. Round trips to backend servers take milliseconds, and a lost
/// SYN packet is retransmitted only after a second.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// TCP user timeout: how long sent bytes may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE: time::Duration = time::Duration::from_secs(1);

/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Number of unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

type Body = http_body_util::Full<bytes::Bytes>;

type SendError = hyper::client::conn::TrySendError<http::Request<Body>>;

/// A connection to a backend server, for one request at a time.
#[derive(Debug)]
pub(crate) struct BackendConnection {
    sender: hyper::client::conn::http1::SendRequest<Body>,
    allowance: sync::Arc<read_allowance::ReadAllowance>,
    /// Whether the connection has carried another request before.
    is_reused: bool,
}

impl BackendConnection {
    /// Opens a connection to `address`. Returns `None` if that fails or times out.
    pub(crate) async fn open(address: net::SocketAddr) -> Option<Self> {
        let connecting = tokio::net::TcpStream::connect(address);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let stream = connected.ok()?.ok()?;
        set_options(&stream);
        let allowance = sync::Arc::new(read_allowance::ReadAllowance::new());
        let stream = limited_stream::LimitedStream::new(stream, sync::Arc::clone(&allowance));
        let handshake = hyper::client::conn::http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(rt::TokioIo::new(stream));
        let (sender, connection) = handshake.await.ok()?;
        // An error is also reported to the request on the connection. An idle connection is just
        // closed.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Some(Self {
            sender,
            allowance,
            is_reused: false,
        })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks. It holds the request if nothing was sent.
    pub(crate) async fn send(
        &mut self,
        req: http::Request<Body>,
    ) -> Result<http::Response<hyper::body::Incoming>, SendError> {
        self.allowance.renew();
        let sent = self.sender.try_send_request(req).await;
        self.allowance.renew();
        sent
    }

    /// Records that content of an answer has arrived.
    pub(crate) fn record_content(&self) {
        self.allowance.renew();
    }

    /// Checks the identifier that an answer repeats against that of the request. On a connection
    /// that has carried another request, an answer without one may be a late copy of an earlier
    /// answer or refusal.
    pub(crate) fn check_echo(&self, echoed: Option<&str>, id: &str) -> bool {
        match echoed {
            Some(echoed) => echoed == id,
            None => !self.is_reused,
        }
    }

    /// Prepares the connection for the next request.
    pub(crate) fn reuse(self) -> Self {
        Self {
            is_reused: true,
            ..self
        }
    }

    /// Whether a request can be sent.
    pub(crate) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection was closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Sets socket options that detect dead connections and reset connections on close. Options that
/// the system rejects are skipped; dead connections are then detected by the timeouts of requests.
fn set_options(stream: &tokio::net::TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(stream);
    // A connection is closed early only when its request is cancelled. With a linger time of zero,
    // closing it sends a reset and discards unsent bytes, so that the request does not arrive
    // afterwards.
    let _ = socket.set_linger(Some(time::Duration::ZERO));
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    let probes = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let _ = socket.set_tcp_keepalive(&probes);
}
