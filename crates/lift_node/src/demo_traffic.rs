//! Callers of the demo.

use std::{net, sync, time};

use http_body_util::BodyExt as _;
use hyper_util::{client::legacy, rt};

use crate::{demo_reply, demo_settings};

/// Callers that send one request after the other.
const CALLERS: u32 = 8;

/// Pause of a caller between two requests.
const PAUSE: time::Duration = time::Duration::from_millis(5);

/// Pause before a request that did not run is sent again.
const REPEAT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Time after which a caller gives up on a request.
const PATIENCE: time::Duration = time::Duration::from_secs(30);

/// Every so many requests one is non-idempotent.
const NON_IDEMPOTENT_EVERY: u32 = 4;

/// Tokens of an answer.
const TOKENS: usize = 16;

type HttpClient = legacy::Client<legacy::connect::HttpConnector, Body>;
type Body = http_body_util::Full<bytes::Bytes>;

/// Callers in progress.
#[derive(Debug)]
pub(crate) struct DemoTraffic {
    shared: sync::Arc<Shared>,
    tasks: tokio_util::task::TaskTracker,
}

#[derive(Debug)]
struct Shared {
    client: HttpClient,
    entry: net::SocketAddr,
    counters: lift_obs::Counters,
    answered: lift_shard::Shards<Vec<String>>,
    stopped: tokio_util::sync::CancellationToken,
}

impl DemoTraffic {
    /// Starts the callers of `entry`.
    pub(crate) fn start(entry: net::SocketAddr) -> Self {
        let shared = sync::Arc::new(Shared {
            client: legacy::Client::builder(rt::TokioExecutor::new()).build_http(),
            entry,
            counters: lift_obs::Counters::new(),
            answered: lift_shard::Shards::new(CALLERS as usize, |_| Vec::new()),
            stopped: tokio_util::sync::CancellationToken::new(),
        });
        let tasks = tokio_util::task::TaskTracker::new();
        for caller in 0..CALLERS {
            tasks.spawn(run(shared.clone(), caller));
        }
        Self { shared, tasks }
    }

    /// Lets each caller finish its request.
    pub(crate) async fn stop(&self) {
        self.shared.stopped.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Counters `ok`, `wrong`, `lost` and `sent` (non-idempotent requests).
    pub(crate) fn counters(&self) -> &lift_obs::Counters {
        &self.shared.counters
    }

    /// Keys of the non-idempotent requests that were answered.
    pub(crate) fn answered(&self) -> Vec<String> {
        self.shared.answered.fold(Vec::new(), |mut all, keys| {
            all.append(keys);
            all
        })
    }
}

async fn run(shared: sync::Arc<Shared>, caller: u32) {
    for number in 0.. {
        if shared.stopped.is_cancelled() {
            return;
        }
        let id = format!("{caller}-{number}");
        let outcome = if number % NON_IDEMPOTENT_EVERY == NON_IDEMPOTENT_EVERY - 1 {
            release(&shared, &id).await
        } else {
            complete(&shared, &id).await
        };
        shared.counters.increment(outcome);
        tokio::time::sleep(PAUSE).await;
    }
}

/// Asks the model and compares the answer with the one of the version that it names.
async fn complete(shared: &Shared, id: &str) -> &'static str {
    let path = format!("/v1/{}/complete?tokens={TOKENS}", demo_settings::MODEL);
    let Some(reply) = send(shared, &path, id, None).await else {
        return "lost";
    };
    let version = reply.version.unwrap_or_default();
    let expected = lift_standin::AnswerText::new(id.as_bytes(), TOKENS).whole(&version);
    if reply.status == http::StatusCode::OK && reply.body == expected.as_bytes() {
        "ok"
    } else {
        "wrong"
    }
}

/// Sends a non-idempotent request. Its receipt names the key and counts the runs.
async fn release(shared: &Shared, id: &str) -> &'static str {
    let path = format!("/v1/{}/release", demo_settings::LEDGER);
    let key = format!("key-{id}");
    shared.counters.increment("sent");
    let Some(reply) = send(shared, &path, id, Some(&key)).await else {
        return "lost";
    };
    let receipt = String::from_utf8_lossy(&reply.body).into_owned();
    let expected = format!("{{\"key\":{key:?},\"run\":1,");
    if reply.status != http::StatusCode::OK || !receipt.starts_with(&expected) {
        return "wrong";
    }
    shared.answered.with(id, |keys| keys.push(key));
    "ok"
}

/// Sends a request until there is an answer. A refusal that proves that the request did not
/// run, and an outcome in doubt, are followed by a repeat, as a caller would do.
async fn send(
    shared: &Shared,
    path: &str,
    body: &str,
    key: Option<&str>,
) -> Option<demo_reply::DemoReply> {
    let until = time::Instant::now() + PATIENCE;
    let mut repeat = demo_reply::Repeat::First;
    while time::Instant::now() < until {
        let req = request(shared, path, body, key, repeat)?;
        let reply = exchange(shared, req).await?;
        repeat = match reply.repeat() {
            Some(next) => next,
            None => return Some(reply),
        };
        shared.counters.increment("repeated");
        tokio::time::sleep(REPEAT_PAUSE).await;
    }
    None
}

fn request(
    shared: &Shared,
    path: &str,
    body: &str,
    key: Option<&str>,
    repeat: demo_reply::Repeat,
) -> Option<http::Request<Body>> {
    let mut req = http::Request::post(format!("http://{}{path}", shared.entry))
        .header(lift_entry::WORKSPACE_HEADER, "demo");
    if let Some(key) = key {
        req = req.header(lift_entry::KEY_HEADER, key);
    }
    if repeat == demo_reply::Repeat::InDoubt {
        req = req.header(lift_entry::REPEAT_HEADER, "1");
    }
    req.body(Body::from(String::from(body))).ok()
}

async fn exchange(shared: &Shared, req: http::Request<Body>) -> Option<demo_reply::DemoReply> {
    let reply = async {
        let answer = shared.client.request(req).await.ok()?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(demo_reply::DemoReply::new(&head, body))
    };
    tokio::time::timeout(PATIENCE, reply).await.ok()?
}
