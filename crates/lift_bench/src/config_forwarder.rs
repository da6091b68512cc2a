//! A TCP forwarder that counts bytes and can cut connections silently.

use std::{net, sync, time};

use sync::atomic;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::sync::watch;

/// Size of a read in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Time to reach the target.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// What a forwarder does with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Path {
    /// Connects to the target.
    To(net::SocketAddr),
    /// Closes connections, as a host does on which nothing listens.
    Closed,
    /// Takes bytes and delivers none, without an error.
    Cut,
}

/// Forwards connections from an address that stays the same when the target is restarted.
#[derive(Debug)]
pub(crate) struct ConfigForwarder {
    address: net::SocketAddr,
    path: watch::Sender<Path>,
    bytes: sync::Arc<atomic::AtomicU64>,
    task: tokio::task::JoinHandle<()>,
}

impl ConfigForwarder {
    /// Listens on loopback.
    pub(crate) async fn start(path: Path) -> std::io::Result<Self> {
        let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let path = watch::Sender::new(path);
        let bytes = sync::Arc::new(atomic::AtomicU64::new(0));
        let task = tokio::spawn(accept(listener, path.subscribe(), sync::Arc::clone(&bytes)));
        Ok(Self {
            address,
            path,
            bytes,
            task,
        })
    }

    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }

    pub(crate) fn set(&self, path: Path) {
        self.path.send_replace(path);
    }

    pub(crate) fn path(&self) -> Path {
        *self.path.borrow()
    }

    /// Bytes that were forwarded, both ways.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(atomic::Ordering::Relaxed)
    }
}

impl Drop for ConfigForwarder {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: tokio::net::TcpListener,
    path: watch::Receiver<Path>,
    bytes: sync::Arc<atomic::AtomicU64>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(forward(stream, path.clone(), sync::Arc::clone(&bytes)));
    }
}

async fn forward(
    client: tokio::net::TcpStream,
    mut path: watch::Receiver<Path>,
    bytes: sync::Arc<atomic::AtomicU64>,
) {
    let now = *path.borrow_and_update();
    let target = match now {
        Path::To(target) => target,
        Path::Closed => return,
        Path::Cut => {
            // A connection that is opened while the path is cut never works.
            let _client = client;
            let _ = path.wait_for(|path| *path == Path::Closed).await;
            return;
        }
    };
    let connecting = tokio::net::TcpStream::connect(target);
    let Ok(Ok(server)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let closed = path.clone();
    let closing = closes(closed, now);
    tokio::select! {
        () = copy(client_rx, server_tx, path.clone(), &bytes) => {}
        () = copy(server_rx, client_tx, path, &bytes) => {}
        () = closing => {}
    }
}

/// Ends when the target is gone. A cut does not end a connection.
async fn closes(mut path: watch::Receiver<Path>, first: Path) {
    let gone = |path: &Path| *path != first && *path != Path::Cut;
    let _ = path.wait_for(gone).await;
}

async fn copy(
    mut rx: tokio::net::tcp::OwnedReadHalf,
    mut tx: tokio::net::tcp::OwnedWriteHalf,
    path: watch::Receiver<Path>,
    bytes: &atomic::AtomicU64,
) {
    let mut buf = vec![0; READ_BYTES];
    let mut is_cut = false;
    while let Ok(read) = rx.read(&mut buf).await {
        if read == 0 {
            return;
        }
        // A connection that was cut once stays silent, also when the path works again.
        is_cut |= *path.borrow() == Path::Cut;
        if is_cut {
            continue;
        }
        bytes.fetch_add(read as u64, atomic::Ordering::Relaxed);
        if tx.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}
