//! HTTP server of a stand-in.

use std::net;

/// An HTTP server on loopback that ends when it is dropped.
#[derive(Debug)]
pub struct AnswerServer {
    addr: net::SocketAddr,
    stopped: tokio_util::sync::DropGuard,
}

impl AnswerServer {
    /// Serves `router` on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error where no port can be had.
    pub async fn start(router: axum::Router) -> std::io::Result<Self> {
        let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let stopped = tokio_util::sync::CancellationToken::new();
        let ended = stopped.clone();
        tokio::spawn(async move {
            let listener = axum::serve::ListenerExt::tap_io(listener, |io| {
                let _ = io.set_nodelay(true);
            });
            tokio::select! {
                _ = axum::serve(listener, router) => {}
                () = ended.cancelled() => {}
            }
        });
        Ok(Self {
            addr,
            stopped: stopped.drop_guard(),
        })
    }

    /// Its address.
    pub fn addr(&self) -> net::SocketAddr {
        self.addr
    }

    /// Stops to accept connections.
    pub fn stop(self) {
        drop(self.stopped);
    }
}
