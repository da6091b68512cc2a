//! Answering part of the engine.

use std::{net, sync, time};

use axum::{extract, response, routing};
use futures_util::stream;
use tokio::sync::watch;

use crate::{answer_fault, answer_server, answer_text};

/// Tokens of an answer unless the query names another number.
const DEFAULT_TOKENS: usize = 8;

/// Most tokens of an answer.
const MAX_TOKENS: usize = 100_000;

type Version = watch::Receiver<Option<lift_types::VersionId>>;

/// A stand-in for a model engine's answers on loopback. It answers any path; `tokens=N` in
/// the query sets the length of the answer.
#[derive(Debug)]
pub struct AnswerEngine {
    server: answer_server::AnswerServer,
    fault: sync::Arc<watch::Sender<answer_fault::AnswerFault>>,
}

#[derive(Clone, Debug)]
struct Parts {
    version: Version,
    fault: watch::Receiver<answer_fault::AnswerFault>,
    token_delay: time::Duration,
}

impl AnswerEngine {
    /// Starts to answer with the version in `version`, one token each `token_delay`.
    ///
    /// # Errors
    ///
    /// Returns an error where no port can be had.
    pub async fn start(version: Version, token_delay: time::Duration) -> std::io::Result<Self> {
        let (fault, fault_rx) = watch::channel(answer_fault::AnswerFault::None);
        let parts = Parts {
            version,
            fault: fault_rx,
            token_delay,
        };
        let router = axum::Router::new()
            .fallback(routing::any(answer))
            .with_state(parts);
        Ok(Self {
            server: answer_server::AnswerServer::start(router).await?,
            fault: sync::Arc::new(fault),
        })
    }

    /// Address of the engine.
    pub fn addr(&self) -> net::SocketAddr {
        self.server.addr()
    }

    /// Makes requests from now on fail in this way.
    pub fn set_fault(&self, fault: answer_fault::AnswerFault) {
        self.fault.send_replace(fault);
    }
}

/// One answer under way.
#[derive(Debug)]
struct Tokens {
    text: answer_text::AnswerText,
    version: Version,
    delay: time::Duration,
    next: usize,
    skip: usize,
    end: usize,
    is_cut: bool,
}

async fn answer(
    extract::State(parts): extract::State<Parts>,
    uri: http::Uri,
    headers: http::HeaderMap,
    body: bytes::Bytes,
) -> response::Response {
    let fault = *parts.fault.borrow();
    let Some(version) = parts.version.borrow().clone() else {
        return status(http::StatusCode::SERVICE_UNAVAILABLE);
    };
    match fault {
        answer_fault::AnswerFault::Late(delay) => tokio::time::sleep(delay).await,
        answer_fault::AnswerFault::Silent => std::future::pending().await,
        _ => {}
    }
    let tokens = tokens_of(&uri);
    let text = match fault {
        answer_fault::AnswerFault::Crossed => answer_text::AnswerText::new(b"another", tokens),
        _ => answer_text::AnswerText::new(&body, tokens),
    };
    let skip = number(&headers, lift_border::RESUME_HEADER).unwrap_or_default();
    let is_cut = fault == answer_fault::AnswerFault::Cut;
    let mut head = http::Response::builder().header(lift_border::VERSION_HEADER, &version);
    if let Some(id) = headers.get(lift_border::REQUEST_ID_HEADER) {
        let crossed = http::HeaderValue::from_static("another");
        let is_crossed = fault == answer_fault::AnswerFault::Crossed;
        let id = if is_crossed { &crossed } else { id };
        head = head.header(lift_border::REQUEST_ID_HEADER, id);
    }
    let body = if parts.token_delay.is_zero() && !is_cut {
        let whole = text.whole(&version).into_bytes();
        let rest = whole.get(skip..).unwrap_or_default();
        axum::body::Body::from(rest.to_vec())
    } else {
        let end = if is_cut { tokens / 2 } else { tokens };
        axum::body::Body::from_stream(stream::unfold(
            Tokens {
                text,
                version: parts.version,
                delay: parts.token_delay,
                next: 0,
                skip,
                end,
                is_cut,
            },
            Tokens::next,
        ))
    };
    head.body(body)
        .unwrap_or_else(|_| status(http::StatusCode::INTERNAL_SERVER_ERROR))
}

impl Tokens {
    /// Makes the next token with the version that is loaded now, so that a change of version
    /// in the middle of an answer shows.
    async fn next(mut self) -> Option<(Result<bytes::Bytes, std::io::Error>, Self)> {
        loop {
            if self.next >= self.end {
                if !self.is_cut {
                    return None;
                }
                self.is_cut = false;
                return Some((Err(std::io::Error::other("cut")), self));
            }
            let version = self.version.borrow().clone().unwrap_or_default();
            let token = self.text.token(&version, self.next);
            self.next += 1;
            if self.skip >= token.len() {
                self.skip -= token.len();
                continue;
            }
            tokio::time::sleep(self.delay).await;
            let rest = token.as_bytes()[self.skip..].to_vec();
            self.skip = 0;
            return Some((Ok(bytes::Bytes::from(rest)), self));
        }
    }
}

fn tokens_of(uri: &http::Uri) -> usize {
    let pairs = uri.query().unwrap_or_default().split('&');
    let named = pairs.filter_map(|pair| pair.strip_prefix("tokens="));
    let count = named.filter_map(|text| text.parse().ok()).next();
    count.unwrap_or(DEFAULT_TOKENS).min(MAX_TOKENS)
}

fn number(headers: &http::HeaderMap, name: &str) -> Option<usize> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn status(status: http::StatusCode) -> response::Response {
    response::IntoResponse::into_response(status)
}
