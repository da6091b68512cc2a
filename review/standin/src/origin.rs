//! The origin of weights.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record, weights};

/// A piece whose answer the origin delays once.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    pub version: u64,
    pub index: u32,
    /// How long it is silent at least and at most on the connection that asks for the piece. In
    /// between it goes on when it is told.
    pub shortest: Duration,
    pub longest: Duration,
}

/// Hands out manifests and pieces at the rate of its link.
#[derive(Debug)]
pub struct Origin {
    record: Record,
    /// When the link is free again.
    free_at: Mutex<Instant>,
    silence: Mutex<Option<Silence>>,
    has_begun: mpsc::SyncSender<()>,
    goes_on: Arc<AtomicBool>,
}

impl Origin {
    /// Starts the origin. The receiver is told when the silence begins; `goes_on` ends it.
    pub fn start(
        record: &Record,
        address: SocketAddr,
        silence: Option<Silence>,
        goes_on: Arc<AtomicBool>,
    ) -> io::Result<mpsc::Receiver<()>> {
        let (has_begun, begun) = mpsc::sync_channel(1);
        let origin = Arc::new(Self {
            record: record.clone(),
            free_at: Mutex::new(Instant::now()),
            silence: Mutex::new(silence),
            has_begun,
            goes_on,
        });
        let handler: http::Handler = Arc::new(move |request| Some(origin.answer(&request)));
        http::serve(
            TcpListener::bind(address)?,
            handler,
            Arc::new(AtomicBool::new(false)),
        )?;
        Ok(begun)
    }

    fn answer(&self, request: &http::Message) -> http::Message {
        let version = request.query("version").and_then(|v| v.parse().ok());
        let version: u64 = version.unwrap_or(1);
        if request.path().starts_with("/v1/manifest/") {
            self.record.line(&format!(
                "origin hands out the manifest of version {version}"
            ));
            let answer = http::Message::answer("200 OK", weights::manifest(version));
            return answer.with("Content-Type", "application/json");
        }
        let index = request.query("sample-count").and_then(|i| i.parse().ok());
        let Some(index) = index.filter(|i| *i < weights::PIECES) else {
            return http::Message::answer("404 Not Found", "");
        };
        let is_silent = |s: &Silence| s.version == version && s.index == index;
        let silence = self
            .silence
            .lock()
            .expect("silence lock")
            .take_if(|s| is_silent(s));
        match silence {
            Some(silence) => {
                self.record.say(&format!(
                    "origin is silent on piece {index} of version {version}"
                ));
                let _ = self.has_begun.try_send(());
                let began = Instant::now();
                thread::sleep(silence.shortest);
                while began.elapsed() < silence.longest && !self.goes_on.load(Ordering::Acquire) {
                    thread::sleep(Duration::from_millis(5));
                }
                self.record.say(&format!(
                    "origin goes on and sends piece {index} of version {version}"
                ));
            }
            None => self.wait_for_link(),
        }
        http::Message::answer("200 OK", weights::piece(version, index))
    }

    /// Waits until the link has carried one more piece.
    fn wait_for_link(&self) {
        let piece = Duration::from_secs_f64(
            weights::PIECE_BYTES as f64 * 8.0 / (weights::ORIGIN_MBPS * 1e6),
        );
        let until = {
            let mut free_at = self.free_at.lock().expect("link lock");
            *free_at = (*free_at).max(Instant::now()) + piece;
            *free_at
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}
