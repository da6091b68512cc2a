//! A connection to a backend server.

use std::{net, time};

use hyper_util::rt;

/// Time to open a connection. Backend servers are milliseconds away; a lost opening packet is
/// sent again only after a second.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Time for which sent bytes may stay without acknowledgement.
const UNACKNOWLEDGED: time::Duration = time::Duration::from_millis(1_500);

/// Silence after which the other end is probed.
const PROBE_AFTER: time::Duration = time::Duration::from_secs(1);

/// Time between probes.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Probes without an answer after which the connection is given up.
const PROBES: u32 = 2;

/// Longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

type Body = http_body_util::Full<bytes::Bytes>;

/// Sends requests on a connection, one at a time.
pub(crate) type Sender = hyper::client::conn::http1::SendRequest<Body>;

/// Opens a connection to `address`, or returns `None`.
pub(crate) async fn open(address: net::SocketAddr) -> Option<Sender> {
    let connecting = tokio::net::TcpStream::connect(address);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    let stream = connected.ok()?.ok()?;
    prepare(&stream);
    let io = rt::TokioIo::new(stream);
    let handshake = hyper::client::conn::http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(io);
    let (sender, connection) = handshake.await.ok()?;
    // An error shows in the request that is on the connection; on an idle one it ends it.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Some(sender)
}

/// Finds connections that have gone silent. Options that the system refuses are left out; the
/// time-outs of requests then find them later.
fn prepare(stream: &tokio::net::TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(stream);
    // A connection is closed early only when its request is given up. Closing by a reset drops
    // what has not been sent yet, so that the request does not arrive after that.
    let _ = socket.set_linger(Some(time::Duration::ZERO));
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    let _ = socket.set_tcp_keepalive(&probes);
}
