//! TCP server of the control operations.

use std::{net, sync, time};

use tokio::time as timer;

use crate::{control_server_builder, dispatch, server_connection};

/// Time for the handshake of a client.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Pause after a failed accept, for instance while no file descriptor is free.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Most connections at a time.
const MAX_CONNECTIONS: usize = 4_096;

/// Serves any control port on a TCP address until it is stopped or dropped. Control members
/// serve their own port, entries their relay.
#[derive(Debug)]
pub struct ControlServer {
    address: net::SocketAddr,
    closed: tokio_util::sync::CancellationToken,
}

/// What each connection needs.
#[derive(Debug)]
pub(crate) struct ServerShared {
    pub(crate) keys: lift_wire::LinkKeys,
    pub(crate) dispatch: sync::Arc<dispatch::Dispatch>,
    pub(crate) log: slog::Logger,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
}

impl ControlServer {
    /// Collects the settings of a server.
    pub fn builder() -> control_server_builder::ControlServerBuilder {
        control_server_builder::ControlServerBuilder::new()
    }

    /// Address at which it serves.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops to accept and closes all connections.
    pub fn stop(&self) {
        self.closed.cancel();
    }

    pub(crate) fn start(
        listener: tokio::net::TcpListener,
        address: net::SocketAddr,
        shared: ServerShared,
    ) -> Self {
        let closed = tokio_util::sync::CancellationToken::new();
        tokio::spawn(accept(listener, sync::Arc::new(shared), closed.clone()));
        Self { address, closed }
    }
}

impl Drop for ControlServer {
    fn drop(&mut self) {
        self.closed.cancel();
    }
}

async fn accept(
    listener: tokio::net::TcpListener,
    shared: sync::Arc<ServerShared>,
    closed: tokio_util::sync::CancellationToken,
) {
    let connections = sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            biased;
            () = closed.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            timer::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = sync::Arc::clone(&connections).try_acquire_owned() else {
            shared.counters.increment("control.server.full");
            continue;
        };
        let shared = sync::Arc::clone(&shared);
        let closed = closed.child_token();
        tokio::spawn(async move {
            serve(stream, peer, &shared, closed).await;
            drop(permit);
        });
    }
}

async fn serve(
    stream: tokio::net::TcpStream,
    peer: net::SocketAddr,
    shared: &ServerShared,
    closed: tokio_util::sync::CancellationToken,
) {
    let handshake = lift_wire::accept(stream, &shared.keys, lift_wire::Purpose::ControlClient);
    let (reader, writer) = match timer::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(ends)) => ends,
        Ok(Err(error)) => {
            shared.counters.increment("control.server.handshake_failed");
            slog::warn!(shared.log, "control connection refused";
                "peer" => %peer, "error" => %error.current_context());
            return;
        }
        Err(_) => {
            shared.counters.increment("control.server.handshake_failed");
            return;
        }
    };
    let dispatch = sync::Arc::clone(&shared.dispatch);
    let counters = sync::Arc::clone(&shared.counters);
    server_connection::ServerConnection::serve(reader, writer, dispatch, counters, closed).await;
}
