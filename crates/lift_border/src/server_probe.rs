//! Check whether a backend server has ended.

use std::{io, net, time};

/// Time for which a check waits. A host that runs refuses a connection within a round trip.
const TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Whether the host at `addr` refuses connections, so that the process of its backend server has
/// ended. A connection that was reset or a link that is cut doesn't look like that.
pub(crate) async fn has_ended(addr: net::SocketAddr) -> bool {
    let connecting = tokio::net::TcpStream::connect(addr);
    let connected = tokio::time::timeout(TIMEOUT, connecting).await;
    let is_refused = |error: io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    connected.is_ok_and(|connected| connected.is_err_and(is_refused))
}
