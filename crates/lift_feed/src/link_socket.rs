//! Socket options of connections between nodes.

use std::time;

/// Prepares a connection for small messages, and ends it when sent bytes are not acknowledged
/// for `silence`. Options that the system refuses are left out; the time-outs of the protocol
/// then find a silent connection later.
pub fn prepare_link(stream: &tokio::net::TcpStream, silence: time::Duration) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(silence));
}
