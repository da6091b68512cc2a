//! A caller.

use std::{net, sync, time};

use sync::atomic;

use http_body_util::BodyExt as _;
use hyper_util::rt;
use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};

use crate::{answer_text, oracle, request_kind, soak_weights};

/// Host name of all routes.
pub(crate) const HOST: &str = "soak.example";

/// Key that is never taken away.
pub(crate) const LASTING_KEY: &str = "lasting";

/// Time for which a caller waits.
const PATIENCE: time::Duration = time::Duration::from_secs(3);

/// Time to open a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Longest pause between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;

type Body = http_body_util::Full<bytes::Bytes>;
type Sender = hyper::client::conn::http1::SendRequest<Body>;

/// Counts of one kind of request in a span of time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) sent: u64,
    pub(crate) served: u64,
}

/// What all callers share.
#[derive(Debug)]
pub(crate) struct Callers {
    pub(crate) oracle: sync::Arc<oracle::Oracle>,
    pub(crate) gateways: Vec<net::SocketAddr>,
    /// Keys that are used. One may have been taken away.
    pub(crate) keys: parking_lot::Mutex<Vec<String>>,
    /// Requests with the lasting key, which nothing but a fault keeps from being served.
    pub(crate) counts: parking_lot::Mutex<indexmap::IndexMap<request_kind::RequestKind, Counts>>,
    /// Whether nothing but planned stops goes on, so that no request may be cut.
    pub(crate) is_calm: atomic::AtomicBool,
}

/// How a request ended.
enum End {
    /// With a whole answer of a backend server.
    Answered,
    /// With an answer of a gateway.
    Declined(http::StatusCode),
    /// Without a whole answer.
    Cut,
}

/// Sends requests for ever, on connections that it keeps.
pub(crate) async fn run(callers: sync::Arc<Callers>, number: u64, seed: u64) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed ^ (number << 32));
    let mut kept: Option<Sender> = None;
    for turn in 0_u64.. {
        tokio::time::sleep(time::Duration::from_millis(
            rng.random_range(5..MAX_PAUSE_MS),
        ))
        .await;
        let kinds = [
            request_kind::RequestKind::Read,
            request_kind::RequestKind::Write,
            request_kind::RequestKind::Stream,
        ];
        let kind = kinds[rng.random_range(0..kinds.len())];
        let key = callers.keys.lock().choose(&mut rng).cloned();
        let gateway = callers.gateways.choose(&mut rng).copied();
        let (Some(key), Some(gateway)) = (key, gateway) else {
            continue;
        };
        let sender = match kept.take().filter(|kept| !kept.is_closed()) {
            Some(sender) => sender,
            None => match connect(gateway).await {
                Some(sender) => sender,
                None => continue,
            },
        };
        let id = format!("q{seed}-{number}-{turn}");
        callers.oracle.sent(&id, &key);
        let was_calm = callers.is_calm.load(atomic::Ordering::Relaxed);
        let started = time::Instant::now();
        let exchange = exchange(&callers, sender, kind, &id, &key);
        let (end, sender) = match tokio::time::timeout(PATIENCE, exchange).await {
            Ok((end, sender)) => (end, Some(sender)),
            Err(_) => (End::Cut, None),
        };
        let took = started.elapsed();
        callers.note(kind, &id, &end, was_calm, took);
        if key == LASTING_KEY {
            callers.count(kind, &end);
        }
        kept = match end {
            End::Answered => sender,
            End::Declined(_) | End::Cut => None,
        };
    }
}

async fn connect(gateway: net::SocketAddr) -> Option<Sender> {
    let connecting = tokio::net::TcpStream::connect(gateway);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .ok()?
        .ok()?;
    let io = rt::TokioIo::new(stream);
    let (sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
    // How the connection ends shows in the requests on it.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Some(sender)
}

async fn exchange(
    callers: &Callers,
    mut sender: Sender,
    kind: request_kind::RequestKind,
    id: &str,
    key: &str,
) -> (End, Sender) {
    let is_stream = kind == request_kind::RequestKind::Stream;
    let head = lift_peer::CallerText {
        host: HOST,
        id,
        key,
        patience: PATIENCE,
        model: is_stream.then_some(soak_weights::MODEL),
    };
    let req = http::Request::post(format!("{}{id}", kind.prefix()));
    let req = head.write(req).body(Body::default());
    let Ok(req) = req else {
        return (End::Cut, sender);
    };
    let Ok(reply) = sender.send_request(req).await else {
        return (End::Cut, sender);
    };
    let (head, body) = reply.into_parts();
    let Ok(body) = body.collect().await else {
        return (End::Cut, sender);
    };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let end = callers.check(kind, id, &head, &text);
    (end, sender)
}

impl Callers {
    /// Checks an answer that has come whole.
    fn check(
        &self,
        kind: request_kind::RequestKind,
        id: &str,
        head: &http::response::Parts,
        text: &str,
    ) -> End {
        let (echoed, seal) = lift_peer::CallerText::read(&head.headers);
        if echoed.is_some_and(|echoed| echoed != id) {
            self.oracle
                .violate(format!("{id} got the answer to {echoed:?}"));
        }
        if !head.status.is_success() {
            return End::Declined(head.status);
        }
        let fault = match kind {
            _ if seal != Some(&answer_text::seal(id)) => Some(format!("seal {seal:?}")),
            request_kind::RequestKind::Stream => answer_text::stream_fault(id, text),
            _ => (text != answer_text::body(id)).then(|| format!("body {text:?}")),
        };
        if let Some(fault) = fault {
            self.oracle.violate(format!("{id}: {fault}"));
        }
        End::Answered
    }

    fn note(
        &self,
        kind: request_kind::RequestKind,
        id: &str,
        end: &End,
        was_calm: bool,
        took: time::Duration,
    ) {
        match end {
            End::Answered => {
                self.oracle.served.fetch_add(1, atomic::Ordering::Relaxed);
            }
            End::Declined(status) if lift_peer::CallerText::is_not_run(*status) => {
                self.oracle.refuse(id, kind, status.as_u16());
            }
            End::Declined(_) => {
                self.oracle.failed.fetch_add(1, atomic::Ordering::Relaxed);
            }
            End::Cut => {
                self.oracle.failed.fetch_add(1, atomic::Ordering::Relaxed);
                // A request that crosses the close of its connection was not read.
                if was_calm && self.oracle.has_run(id) {
                    let took = took.as_millis();
                    self.oracle
                        .violate(format!("{id} was cut after {took} ms by a planned stop"));
                }
            }
        }
    }

    fn count(&self, kind: request_kind::RequestKind, end: &End) {
        let mut counts = self.counts.lock();
        let counts = counts.entry(kind).or_default();
        counts.sent += 1;
        counts.served += u64::from(matches!(end, End::Answered));
    }

    /// Starts to count anew, and returns what was counted.
    pub(crate) fn take_counts(&self) -> indexmap::IndexMap<request_kind::RequestKind, Counts> {
        std::mem::take(&mut self.counts.lock())
    }
}
