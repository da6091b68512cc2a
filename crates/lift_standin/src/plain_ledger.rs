//! A plain service with a non-idempotent method.

use std::{net, sync};

use axum::{extract, response, routing};
use futures_util::stream;
use tokio::sync::watch;

use crate::{answer_fault, answer_server};

/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Number of shards of the keys.
const SHARDS: usize = 64;

type Runs = lift_shard::Shards<indexmap::IndexMap<String, u32>>;

/// A ledger on loopback. `release` counts how often each idempotency key ran, whatever
/// becomes of its answer; `lookup` reads.
#[derive(Debug)]
pub struct PlainLedger {
    server: answer_server::AnswerServer,
    runs: sync::Arc<Runs>,
    fault: sync::Arc<watch::Sender<answer_fault::AnswerFault>>,
}

#[derive(Clone, Debug)]
struct Parts {
    runs: sync::Arc<Runs>,
    fault: watch::Receiver<answer_fault::AnswerFault>,
}

impl PlainLedger {
    /// Starts an empty ledger.
    ///
    /// # Errors
    ///
    /// Returns an error where no port can be had.
    pub async fn start() -> std::io::Result<Self> {
        let runs = sync::Arc::new(Runs::new(SHARDS, |_| indexmap::IndexMap::new()));
        let (fault, fault_rx) = watch::channel(answer_fault::AnswerFault::None);
        let parts = Parts {
            runs: sync::Arc::clone(&runs),
            fault: fault_rx,
        };
        let router = axum::Router::new()
            .route("/release", routing::any(release))
            .route("/lookup", routing::any(lookup))
            .with_state(parts);
        Ok(Self {
            server: answer_server::AnswerServer::start(router).await?,
            runs,
            fault: sync::Arc::new(fault),
        })
    }

    /// Address of the ledger.
    pub fn addr(&self) -> net::SocketAddr {
        self.server.addr()
    }

    /// Makes answers from now on fail in this way. Releases run all the same.
    pub fn set_fault(&self, fault: answer_fault::AnswerFault) {
        self.fault.send_replace(fault);
    }

    /// How often the release with `key` ran.
    pub fn runs(&self, key: &str) -> u32 {
        let found = self.runs.with(key, |runs| runs.get(key).copied());
        found.unwrap_or_default()
    }

    /// All keys and how often each ran.
    pub fn all_runs(&self) -> indexmap::IndexMap<String, u32> {
        self.runs.fold(indexmap::IndexMap::new(), |mut all, runs| {
            all.extend(runs.iter().map(|(key, count)| (key.clone(), *count)));
            all
        })
    }
}

async fn release(
    extract::State(parts): extract::State<Parts>,
    headers: http::HeaderMap,
    body: bytes::Bytes,
) -> response::Response {
    let key = text(&headers, KEY_HEADER);
    let run = parts.runs.with(key.as_str(), |runs| {
        let count = runs.entry(key.clone()).or_default();
        *count += 1;
        *count
    });
    let receipt = format!("{{\"key\":{key:?},\"run\":{run},\"bytes\":{}}}", body.len());
    answer(&parts, &headers, receipt).await
}

async fn lookup(
    extract::State(parts): extract::State<Parts>,
    headers: http::HeaderMap,
    body: bytes::Bytes,
) -> response::Response {
    let stock = format!("{{\"stock\":\"{}\"}}", blake3::hash(&body).to_hex());
    answer(&parts, &headers, stock).await
}

async fn answer(parts: &Parts, headers: &http::HeaderMap, text_body: String) -> response::Response {
    let mut id = text(headers, lift_border::REQUEST_ID_HEADER);
    let fault = *parts.fault.borrow();
    let body = match fault {
        answer_fault::AnswerFault::Silent => std::future::pending().await,
        answer_fault::AnswerFault::Late(delay) => {
            tokio::time::sleep(delay).await;
            axum::body::Body::from(text_body)
        }
        answer_fault::AnswerFault::Crossed => {
            id = String::from("another");
            axum::body::Body::from("{}")
        }
        answer_fault::AnswerFault::Cut => {
            let half = bytes::Bytes::from(text_body.into_bytes()).split_to(4);
            let parts = [Ok(half), Err(std::io::Error::other("cut"))];
            axum::body::Body::from_stream(stream::iter(parts))
        }
        answer_fault::AnswerFault::None => axum::body::Body::from(text_body),
    };
    let response = http::Response::builder()
        .header(lift_border::REQUEST_ID_HEADER, id)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(body);
    response.unwrap_or_else(|_| {
        response::IntoResponse::into_response(http::StatusCode::INTERNAL_SERVER_ERROR)
    })
}

fn text(headers: &http::HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    String::from(value.unwrap_or_default())
}
