//! A backend server that ends when it begins to run a deadly request.

#![allow(dead_code)]

use std::{net, sync, sync::atomic, time};

use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _};

/// Body of the requests that end the server.
pub const DEADLY: &str = "deadly";

/// Body of the requests whose connection the server resets, without an end.
pub const RESET: &str = "reset";

/// Time after which the server is back on its address.
const RESTART_TIME: time::Duration = time::Duration::from_millis(600);

/// How often the servers of one fleet were reached, and how many of them still end.
#[derive(Debug)]
pub struct Counts {
    pub deadly_runs: atomic::AtomicU32,
    pub resets: atomic::AtomicU32,
    pub ends_left: atomic::AtomicU32,
}

impl Default for Counts {
    fn default() -> Self {
        Self {
            deadly_runs: atomic::AtomicU32::new(0),
            resets: atomic::AtomicU32::new(0),
            ends_left: atomic::AtomicU32::new(u32::MAX),
        }
    }
}

impl Counts {
    /// Whether the deadly request that begins now ends its server.
    fn begin_deadly(&self) -> bool {
        self.deadly_runs.fetch_add(1, atomic::Ordering::SeqCst);
        let take = |left: u32| left.checked_sub(1);
        let order = atomic::Ordering::SeqCst;
        self.ends_left.fetch_update(order, order, take).is_ok()
    }
}

/// Starts a server on loopback and returns its address.
pub async fn start(counts: &sync::Arc<Counts>) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(run(listener, addr, sync::Arc::clone(counts)));
    addr
}

/// Runs the server, which comes back after each end.
async fn run(
    mut listener: tokio::net::TcpListener,
    addr: net::SocketAddr,
    counts: sync::Arc<Counts>,
) {
    loop {
        serve_until_end(listener, &counts).await;
        tokio::time::sleep(RESTART_TIME).await;
        listener = tokio::net::TcpListener::bind(addr).await.unwrap();
    }
}

async fn serve_until_end(listener: tokio::net::TcpListener, counts: &sync::Arc<Counts>) {
    let ended = tokio_util::sync::CancellationToken::new();
    let closed = tokio_util::sync::CancellationToken::new();
    loop {
        let (stream, _) = tokio::select! {
            accepted = listener.accept() => accepted.unwrap(),
            () = ended.cancelled() => break,
        };
        let (ended, counts) = (ended.clone(), sync::Arc::clone(counts));
        let closed = closed.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = answer_requests(stream, &ended, &counts) => {}
                () = closed.cancelled() => {}
            }
        });
    }
    drop(listener);
    closed.cancel();
}

async fn answer_requests(
    stream: tokio::net::TcpStream,
    ended: &tokio_util::sync::CancellationToken,
    counts: &Counts,
) {
    let mut stream = tokio::io::BufReader::new(stream);
    while let Some((id, body)) = read_request(&mut stream).await {
        if body.starts_with(DEADLY) && counts.begin_deadly() {
            ended.cancel();
            return std::future::pending().await;
        }
        if body == RESET {
            counts.resets.fetch_add(1, atomic::Ordering::SeqCst);
            return;
        }
        let head = format!("HTTP/1.1 200 OK\r\nx-lift-request-id: {id}\r\ncontent-length: 4\r\n");
        let answer = format!("{head}\r\ndone");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Identifier and body of the next request.
async fn read_request(
    stream: &mut tokio::io::BufReader<tokio::net::TcpStream>,
) -> Option<(String, String)> {
    let (mut id, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(": ") else {
            if line.trim_end().is_empty() {
                break;
            }
            continue;
        };
        match name.to_ascii_lowercase().as_str() {
            "x-lift-request-id" => id = String::from(value),
            "content-length" => length = value.parse().unwrap(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some((id, String::from_utf8(body).unwrap()))
}
