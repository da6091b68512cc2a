//! Loop that accepts connections.

use std::{sync, time};

use tokio_util::{sync as cancellation, task};

use crate::{closing_listener, connection_handler};

/// Pause after a failure to accept a connection, such as a lack of file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Accepts connections until `draining` is cancelled, at most `max_connections` at a time, then
/// closes the listener and waits until all connections have ended. Connections that the kernel has
/// completed by then are served too, beyond `max_connections` if need be.
pub async fn serve(
    listener: tokio::net::TcpListener,
    max_connections: usize,
    handler: sync::Arc<dyn connection_handler::ConnectionHandler>,
    draining: cancellation::CancellationToken,
) {
    let connections = task::TaskTracker::new();
    let permits = sync::Arc::new(tokio::sync::Semaphore::new(max_connections));
    loop {
        let accept = async {
            let permit = sync::Arc::clone(&permits).acquire_owned().await;
            (permit, listener.accept().await)
        };
        let Some((permit, accepted)) = draining.run_until_cancelled(accept).await else {
            break;
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let serving = handler.serve(stream, draining.clone());
        connections.spawn(async move {
            serving.await;
            drop(permit);
        });
    }
    let mut closing = closing_listener::ClosingListener::new(listener);
    while let Some(stream) = closing.accept().await {
        connections.spawn(handler.serve(stream, draining.clone()));
    }
    connections.close();
    connections.wait().await;
}
