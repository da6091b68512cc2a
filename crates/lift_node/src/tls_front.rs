//! TLS for callers.

use std::{io, net, sync, time};

use tokio::io::AsyncWriteExt as _;
use tokio_util::{
    sync::{CancellationToken, DropGuard},
    task,
};

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
    /// Tracks connections with bytes that may still have to reach their callers.
    answers: task::TaskTracker,
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
        let answers = task::TaskTracker::new();
        let (until, tracker) = (closed.clone(), answers.clone());
        tokio::spawn(async move {
            let accepting = accept(&listener, &acceptor, front, &slots, &tracker, &log);
            until.run_until_cancelled(accepting).await
        });
        Ok(Self {
            addr,
            closed: closed.clone(),
            answers,
            _guard: closed.drop_guard(),
        })
    }

    /// Address that it listens on.
    pub(crate) fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Accepts no more connections, and waits until all that the front end has written is on its
    /// way to the callers, at most for `limit`. The front end must have closed its connections:
    /// what it wrote may still be in this process. Returns the number of connections that are cut
    /// off.
    pub(crate) async fn stop(&self, limit: time::Duration) -> usize {
        self.closed.cancel();
        self.answers.close();
        let _ = tokio::time::timeout(limit, self.answers.wait()).await;
        self.answers.len()
    }
}

async fn accept(
    listener: &tokio::net::TcpListener,
    acceptor: &tokio_rustls::TlsAcceptor,
    front: net::SocketAddr,
    slots: &sync::Arc<tokio::sync::Semaphore>,
    answers: &task::TaskTracker,
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
        let (acceptor, answers, log) = (acceptor.clone(), answers.clone(), log.clone());
        tokio::spawn(async move {
            if let Err(e) = pass(stream, &acceptor, front, &answers).await {
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
    answers: &task::TaskTracker,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let accepted = tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await;
    let outer = accepted.map_err(io::Error::from)??;
    let mut inner = tokio::net::TcpStream::connect(front).await?;
    inner.set_nodelay(true)?;
    let (mut from_caller, mut to_caller) = tokio::io::split(outer);
    let (mut from_front, mut to_front) = inner.split();
    let requests = copy(&mut from_caller, &mut to_front);
    let answers = answers.track_future(copy(&mut from_front, &mut to_caller));
    tokio::try_join!(requests, answers)?;
    Ok(())
}

/// Copies one direction up to the end of the stream, and passes the end on.
async fn copy(
    from: &mut (impl tokio::io::AsyncRead + Unpin),
    to: &mut (impl tokio::io::AsyncWrite + Unpin),
) -> io::Result<()> {
    tokio::io::copy(from, to).await?;
    to.shutdown().await
}
