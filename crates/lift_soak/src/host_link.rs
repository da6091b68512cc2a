//! The link of a host: forwarders before its listeners.

use std::{sync, time};

use tokio::{io::AsyncReadExt as _, io::AsyncWriteExt as _, net, sync::watch};

use crate::{cast, link_fault, soak_error};

/// Bytes that are forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// Time to open the second half of a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Forwards the connections to one host and harms them as it is told.
#[derive(Debug)]
pub(crate) struct HostLink {
    fault: watch::Sender<link_fault::LinkFault>,
    /// Counts resets; connections that began before the last one end.
    resets: watch::Sender<u64>,
    _stop: tokio_util::sync::DropGuard,
}

impl HostLink {
    /// Opens forwarders before all listeners of `host`.
    pub(crate) async fn start(cast: cast::Cast, host: u8) -> Result<Self, soak_error::SoakError> {
        let stop = tokio_util::sync::CancellationToken::new();
        let link = Self {
            fault: watch::Sender::new(link_fault::LinkFault::None),
            resets: watch::Sender::new(0),
            _stop: stop.clone().drop_guard(),
        };
        for ends in cast.listeners(host) {
            let listener = net::TcpListener::bind(ends.public).await;
            let listener = listener.map_err(|e| soak_error::SoakError::Io("forwarder", e))?;
            let pump = Pump {
                target: ends.own,
                fault: link.fault.subscribe(),
                resets: link.resets.subscribe(),
            };
            let forwarding = forward(listener, sync::Arc::new(pump));
            tokio::spawn(stop.clone().run_until_cancelled_owned(forwarding));
        }
        Ok(link)
    }

    /// Changes what is wrong with the link.
    pub(crate) fn set(&self, fault: link_fault::LinkFault) {
        self.fault.send_replace(fault);
    }

    /// Resets all connections.
    pub(crate) fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }
}

#[derive(Clone, Debug)]
struct Pump {
    target: std::net::SocketAddr,
    fault: watch::Receiver<link_fault::LinkFault>,
    resets: watch::Receiver<u64>,
}

async fn forward(listener: net::TcpListener, pump: sync::Arc<Pump>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(Pump::clone(&pump).join(stream));
    }
}

impl Pump {
    /// Forwards one connection until an end closes it or it is reset.
    async fn join(mut self, inbound: net::TcpStream) {
        self.resets.mark_unchanged();
        abort_on_close(&inbound);
        // A link that lets nothing through does not open connections either.
        let opened = self.fault.wait_for(|f| f.passes(true) && f.passes(false));
        if opened.await.is_err() {
            return;
        }
        let connecting = net::TcpStream::connect(self.target);
        let Ok(Ok(outbound)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await else {
            return;
        };
        abort_on_close(&outbound);
        let (from_caller, to_caller) = inbound.into_split();
        let (from_host, to_host) = outbound.into_split();
        let mut resets = self.resets.clone();
        let to = copy(from_caller, to_host, self.fault.clone(), true);
        let back = copy(from_host, to_caller, self.fault.clone(), false);
        tokio::select! {
            _ = async { tokio::try_join!(to, back) } => {}
            _ = resets.changed() => {}
        }
    }
}

/// Lets a connection that is dropped amid its work end with a reset.
fn abort_on_close(stream: &net::TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
}

/// Copies one direction up to the end of the stream, which is passed on in its turn. An error
/// ends both directions.
async fn copy(
    mut from: net::tcp::OwnedReadHalf,
    mut to: net::tcp::OwnedWriteHalf,
    mut fault: watch::Receiver<link_fault::LinkFault>,
    is_inbound: bool,
) -> std::io::Result<()> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut buf).await?;
        let held = fault.wait_for(|fault| fault.passes(is_inbound)).await;
        let delay = held.map_or(time::Duration::ZERO, |fault| fault.delay());
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buf[..length]).await?;
    }
}
