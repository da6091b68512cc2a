//! What serves an accepted connection.

use std::pin;

use tokio_util::sync;

/// Serves connections of one port.
pub trait ConnectionHandler: Send + Sync {
    /// Serves `stream` until the caller closes it. Once `draining` is cancelled, the connection is
    /// to be closed after the request in progress.
    fn serve(
        &self,
        stream: tokio::net::TcpStream,
        draining: sync::CancellationToken,
    ) -> pin::Pin<Box<dyn Future<Output = ()> + Send>>;
}
