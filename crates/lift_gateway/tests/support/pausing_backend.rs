//! A backend server that pauses before it starts a request.

use std::{net, sync, time};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Starts each request after a pause unless the time that it was given is over by then. It does not
/// notice during the pause that a connection is closed.
#[derive(Debug)]
pub(crate) struct PausingBackend {
    pub(crate) address: net::SocketAddr,
    counts: sync::Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    received: sync::atomic::AtomicUsize,
    started: sync::atomic::AtomicUsize,
}

impl PausingBackend {
    pub(crate) async fn start(pause: time::Duration) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let counts = sync::Arc::<Counts>::default();
        let shared = sync::Arc::clone(&counts);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, pause, sync::Arc::clone(&shared)));
            }
        });
        Self { address, counts }
    }

    /// Number of requests that have arrived.
    pub(crate) fn received(&self) -> usize {
        self.counts.received.load(sync::atomic::Ordering::SeqCst)
    }

    /// Number of requests that were started.
    pub(crate) fn started(&self) -> usize {
        self.counts.started.load(sync::atomic::Ordering::SeqCst)
    }
}

async fn serve(
    mut stream: tokio::net::TcpStream,
    pause: time::Duration,
    counts: sync::Arc<Counts>,
) {
    let mut buf = vec![0; 4_096];
    let length = stream.read(&mut buf).await.unwrap_or_default();
    let head = String::from_utf8_lossy(&buf[..length]).into_owned();
    let find = |name: &str| {
        let prefix = format!("{name}: ");
        head.lines().find_map(|line| line.strip_prefix(&prefix))
    };
    let time_left = find("x-time-left").and_then(|ms| ms.parse().ok());
    let time_left = time::Duration::from_millis(time_left.unwrap_or_default());
    counts.received.fetch_add(1, sync::atomic::Ordering::SeqCst);
    tokio::time::sleep(pause).await;
    let id = find("x-id").unwrap_or_default();
    let answer = match pause < time_left {
        true => {
            counts.started.fetch_add(1, sync::atomic::Ordering::SeqCst);
            format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: 1\r\ncontent-length: 0\r\n\r\n")
        }
        false => {
            format!("HTTP/1.1 503 Late\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n")
        }
    };
    let _ = stream.write_all(answer.as_bytes()).await;
}
