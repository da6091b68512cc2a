//! A device on the path that loses the state of connections.

use std::{net, sync, time};

use tokio::io;
use tokio::sync::watch;

/// Time between two looks of a connection that was silenced.
const HOLD: time::Duration = time::Duration::from_secs(3_600);

/// Relays TCP connections on loopback. It can stop to deliver on all open connections, without
/// closing them, while new ones work.
#[derive(Debug)]
pub struct AnswerRelay {
    addr: net::SocketAddr,
    target: sync::Arc<watch::Sender<Option<net::SocketAddr>>>,
    epoch: sync::Arc<watch::Sender<u64>>,
    _stopped: tokio_util::sync::DropGuard,
}

impl AnswerRelay {
    /// Starts without a target; connections wait for one.
    ///
    /// # Errors
    ///
    /// Returns an error where no port can be had.
    pub async fn start() -> std::io::Result<Self> {
        let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let (target, target_rx) = watch::channel(None);
        let (epoch, epoch_rx) = watch::channel(0);
        let stopped = tokio_util::sync::CancellationToken::new();
        tokio::spawn(accept(listener, target_rx, epoch_rx, stopped.clone()));
        Ok(Self {
            addr,
            target: sync::Arc::new(target),
            epoch: sync::Arc::new(epoch),
            _stopped: stopped.drop_guard(),
        })
    }

    /// Address to connect to.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Sets where connections lead to.
    pub fn set_target(&self, target: net::SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Stops to deliver on all open connections, for good.
    pub fn silence(&self) {
        self.epoch.send_modify(|epoch| *epoch += 1);
    }
}

async fn accept(
    listener: tokio::net::TcpListener,
    target: watch::Receiver<Option<net::SocketAddr>>,
    epoch: watch::Receiver<u64>,
    stopped: tokio_util::sync::CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let relay = relay(stream, target.clone(), epoch.clone());
        let stopped = stopped.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = relay => {}
                () = stopped.cancelled() => {}
            }
        });
    }
}

async fn relay(
    mut near: tokio::net::TcpStream,
    mut target: watch::Receiver<Option<net::SocketAddr>>,
    mut epoch: watch::Receiver<u64>,
) {
    epoch.mark_unchanged();
    let addr = match target.wait_for(Option::is_some).await {
        Ok(addr) => *addr,
        Err(_) => return,
    };
    let Some(addr) = addr else {
        return;
    };
    let Ok(mut far) = tokio::net::TcpStream::connect(addr).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    tokio::select! {
        _ = io::copy_bidirectional(&mut near, &mut far) => {}
        // The sockets stay open and nothing more is delivered.
        _ = epoch.changed() => tokio::time::sleep(HOLD).await,
    }
}
