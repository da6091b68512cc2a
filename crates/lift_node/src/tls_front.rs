//! TLS for callers.

use std::{io, net, sync, time};

use tokio_util::sync::{CancellationToken, DropGuard};

/// Longest time of a TLS handshake, so that a silent peer does not hold a connection.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Pause after a failed accept, as when the process has no free file descriptor.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Accepts TLS connections and passes their bytes to the front end on loopback. The front
/// end keeps its limits and its drain; only the encryption is here.
#[derive(Debug)]
pub(crate) struct TlsFront {
    addr: net::SocketAddr,
    closed: CancellationToken,
    _guard: DropGuard,
}

impl TlsFront {
    /// Listens on `addr` and passes at most `connections` connections to `front`.
    pub(crate) async fn start(
        addr: net::SocketAddr,
        acceptor: tokio_rustls::TlsAcceptor,
        front: net::SocketAddr,
        connections: usize,
        log: slog::Logger,
    ) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let closed = CancellationToken::new();
        let slots = sync::Arc::new(tokio::sync::Semaphore::new(connections));
        let until = closed.clone();
        tokio::spawn(async move {
            until
                .run_until_cancelled(accept(&listener, &acceptor, front, &slots, &log))
                .await
        });
        Ok(Self {
            addr,
            closed: closed.clone(),
            _guard: closed.drop_guard(),
        })
    }

    /// Address that it listens on.
    pub(crate) fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Accepts no more connections. Open ones end with the front end's side.
    pub(crate) fn stop(&self) {
        self.closed.cancel();
    }
}

async fn accept(
    listener: &tokio::net::TcpListener,
    acceptor: &tokio_rustls::TlsAcceptor,
    front: net::SocketAddr,
    slots: &sync::Arc<tokio::sync::Semaphore>,
    log: &slog::Logger,
) {
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (acceptor, log) = (acceptor.clone(), log.clone());
        tokio::spawn(async move {
            if let Err(e) = pass(stream, &acceptor, front).await {
                slog::debug!(log, "caller connection ended"; "error" => %e);
            }
            drop(slot);
        });
    }
}

async fn pass(
    stream: tokio::net::TcpStream,
    acceptor: &tokio_rustls::TlsAcceptor,
    front: net::SocketAddr,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let accepted = tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await;
    let mut outer = accepted.map_err(io::Error::from)??;
    let mut inner = tokio::net::TcpStream::connect(front).await?;
    inner.set_nodelay(true)?;
    tokio::io::copy_bidirectional(&mut outer, &mut inner).await?;
    Ok(())
}
