//! Clients.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{document::Document, fleet::Fleet, http, record::Record, weights};

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub sent: Instant,
    pub answered: Instant,
    pub answer: Result<http::Message, String>,
}

impl Outcome {
    /// Status of the answer, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, http::Message::status)
    }
}

/// Sends one request on a connection of its own, and records it and its answer.
pub fn request(
    record: &Record,
    gateway: SocketAddr,
    path: &str,
    id: &str,
    key: Option<&str>,
    more: &[(&str, &str)],
) -> Outcome {
    let sent = Instant::now();
    let authorization = key.map(|key| format!("Bearer {key}"));
    let mut headers = vec![
        ("Host", Document::HOST),
        ("Request-Id", id),
        ("Deadline-Ms", "6000"),
    ];
    headers.extend(
        authorization
            .as_deref()
            .map(|value| ("Authorization", value)),
    );
    headers.extend(more);
    record.line(&format!(
        "client sends {id} POST {path} key={}",
        key.unwrap_or("none")
    ));
    let timeout = Duration::from_secs(6);
    let answer = http::call(gateway, timeout, "POST", path, &headers, b"");
    let outcome = Outcome {
        id: String::from(id),
        sent,
        answered: Instant::now(),
        answer: answer.map_err(|e: io::Error| e.to_string()),
    };
    let what = match &outcome.answer {
        Ok(answer) => format!(
            "{} from {}",
            answer.status(),
            answer.header("replica-id").unwrap_or("the gateway")
        ),
        Err(e) => format!("no answer: {e}"),
    };
    record.line(&format!("client gets {id}: {what}"));
    outcome
}

/// Requests of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Requests {
    pub name: &'static str,
    pub gap: Duration,
    pub key: &'static str,
    /// Parts of the prompt before the request's own.
    pub parts: &'static [&'static str],
    pub tokens: &'static str,
}

/// Clients that send requests until they are stopped.
#[derive(Debug)]
pub struct Clients {
    is_stopped: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    sending: thread::JoinHandle<()>,
}

impl Clients {
    /// Starts to send.
    pub fn start(record: &Record, fleet: &Fleet, requests: Requests) -> Self {
        let (is_stopped, outcomes) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Mutex::new(Vec::new())),
        );
        let (stop, kept, record, gateway) = (
            Arc::clone(&is_stopped),
            Arc::clone(&outcomes),
            record.clone(),
            fleet.gateway(),
        );
        let sending = thread::spawn(move || {
            let mut clients = Vec::new();
            for i in 0.. {
                if stop.load(Ordering::Acquire) {
                    break;
                }
                let (kept, record) = (Arc::clone(&kept), record.clone());
                clients.push(thread::spawn(move || {
                    let id = format!("{}-{i}", requests.name);
                    let prefix = format!(
                        "{},{:x}{i:06x}:60",
                        requests.parts.join(","),
                        requests.name.len()
                    );
                    let more = [
                        ("Model", weights::MODEL),
                        ("Token-Count", requests.tokens),
                        ("Prompt-Prefix", prefix.as_str()),
                    ];
                    let outcome =
                        request(&record, gateway, "/plan/1", &id, Some(requests.key), &more);
                    kept.lock().expect("outcomes lock").push(outcome);
                }));
                thread::sleep(requests.gap);
            }
            for client in clients {
                let _ = client.join();
            }
        });
        Self {
            is_stopped,
            outcomes,
            sending,
        }
    }

    /// Stops, and returns what became of all requests.
    pub fn stop(self) -> Vec<Outcome> {
        self.is_stopped.store(true, Ordering::Release);
        let _ = self.sending.join();
        std::mem::take(&mut *self.outcomes.lock().expect("outcomes lock"))
    }
}
