//! Clients.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{document::Document, http, record::Record};

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
