//! A caller.

use std::{net, sync, time};

use sync::atomic;

use http_body_util::BodyExt as _;
use hyper_util::rt;
use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};
use strum::IntoEnumIterator as _;

use crate::{call_end, callers, request_kind, soak_weights};

/// Host name of all routes.
pub(crate) const HOST: &str = "soak.example";

/// Key that is never taken away.
pub(crate) const LASTING_KEY: &str = "lasting";

/// Time for which a caller waits.
pub(crate) const PATIENCE: time::Duration = time::Duration::from_secs(3);

/// Time to open a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Longest pause between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;

pub(crate) type Body = http_body_util::Full<bytes::Bytes>;
pub(crate) type Sender = hyper::client::conn::http1::SendRequest<Body>;

/// Sends requests for ever, on connections that it keeps.
pub(crate) async fn run(
    callers: sync::Arc<callers::Callers>,
    gateways: Vec<net::SocketAddr>,
    number: u64,
    seed: u64,
) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed ^ (number << 32));
    let kinds: Vec<_> = request_kind::RequestKind::iter().collect();
    let mut kept: Option<Sender> = None;
    for turn in 0_u64.. {
        tokio::time::sleep(time::Duration::from_millis(
            rng.random_range(5..MAX_PAUSE_MS),
        ))
        .await;
        let kind = kinds[rng.random_range(0..kinds.len())];
        let key = callers.keys.lock().choose(&mut rng).cloned();
        let gateway = gateways.choose(&mut rng).copied();
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
            Err(_) => (call_end::CallEnd::Cut, None),
        };
        let took = started.elapsed();
        callers.note(kind, &id, &end, was_calm, took);
        if key == LASTING_KEY {
            callers.count(kind, &end);
        }
        kept = match end {
            call_end::CallEnd::Answered | call_end::CallEnd::Declined(_) => sender,
            call_end::CallEnd::Cut => None,
        };
    }
}

pub(crate) async fn connect(gateway: net::SocketAddr) -> Option<Sender> {
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
    callers: &callers::Callers,
    mut sender: Sender,
    kind: request_kind::RequestKind,
    id: &str,
    key: &str,
) -> (call_end::CallEnd, Sender) {
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
        return (call_end::CallEnd::Cut, sender);
    };
    let Ok(reply) = sender.send_request(req).await else {
        return (call_end::CallEnd::Cut, sender);
    };
    let (head, body) = reply.into_parts();
    let Ok(body) = body.collect().await else {
        return (call_end::CallEnd::Cut, sender);
    };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let end = callers.check(kind, id, &head, &text);
    (end, sender)
}
