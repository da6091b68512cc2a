//! A caller of the request experiment.

use std::{net, sync, time};

use http_body_util::BodyExt as _;
use hyper_util::{client::legacy, rt};

use crate::{requests_balancer, requests_host, requests_tally};

/// Time in which a caller repeats a request.
const PATIENCE: time::Duration = time::Duration::from_secs(8);

/// Deadline of one sending, in milliseconds.
const DEADLINE_MS: &str = "5000";

/// Pause before a repeat.
const PAUSE: time::Duration = time::Duration::from_millis(20);

/// Tokens of each answer of an engine.
const TOKENS: usize = 8;

type Client = legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<bytes::Bytes>>;

/// Sends requests and judges their answers.
#[derive(Debug)]
pub(crate) struct RequestsCaller {
    pub(crate) client: Client,
    pub(crate) balancer: sync::Arc<requests_balancer::RequestsBalancer>,
    pub(crate) engine: net::SocketAddr,
    pub(crate) tally: requests_tally::RequestsTally,
    pub(crate) seed: u64,
}

/// What one sending gave.
#[derive(Debug)]
enum Reply {
    /// A whole answer.
    Answer(bytes::Bytes),
    /// A refusal or doubt, with its outcome.
    Outcome(String),
    /// No whole answer.
    Broken,
}

impl RequestsCaller {
    /// A client that keeps its connections.
    pub(crate) fn client() -> Client {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        // The caller judges each sending itself, so none is sent again behind its back.
        legacy::Client::builder(rt::TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector)
    }

    /// An idempotent request through the entries, repeated until it is answered.
    pub(crate) async fn chat(&self, request: u64, due: time::Instant) {
        let body = self.body(request);
        for attempt in 0.. {
            let addr = self.balancer.pick(request, attempt);
            let path = format!("http://{addr}/v1/assistant/chat?tokens={TOKENS}");
            if let Reply::Answer(answer) = self.send(path, &body, None, 0).await {
                return self.judge_chat(request, due, &body, &answer, Way::Through);
            }
            if due.elapsed() > PATIENCE {
                return self.tally.with(request, |counts| counts.lost += 1);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// The same request straight to an engine.
    pub(crate) async fn direct(&self, request: u64, due: time::Instant) {
        let body = self.body(request);
        let path = format!("http://{}/chat?tokens={TOKENS}", self.engine);
        if let Reply::Answer(answer) = self.send(path, &body, None, 0).await {
            self.judge_chat(request, due, &body, &answer, Way::Direct);
        }
    }

    /// A release through the entries, repeated under its key until its outcome is known.
    pub(crate) async fn release(
        &self,
        request: u64,
        due: time::Instant,
        runs: &(dyn Fn(&str) -> u32 + Send + Sync),
    ) {
        let key = format!("truck-{}-{request}", self.seed);
        let body = self.body(request);
        let mut doubts = 0;
        for attempt in 0.. {
            let addr = self.balancer.pick(request, attempt);
            let path = format!("http://{addr}/v1/ledger/release");
            match self.send(path, &body, Some(&key), doubts).await {
                Reply::Answer(_) => {
                    return self.tally.with(request, |counts| {
                        let _ = counts.releases.record(due.elapsed().as_micros() as u64);
                        counts.keys.push((key, true));
                    });
                }
                Reply::Outcome(outcome) if outcome == "not_run" => {
                    let is_false = runs(&key) > 0;
                    self.tally.with(request, |counts| {
                        counts.false_not_run += u64::from(is_false)
                    });
                }
                Reply::Outcome(_) | Reply::Broken => doubts += 1,
            }
            if due.elapsed() > PATIENCE {
                return self.tally.with(request, |counts| {
                    counts.in_doubt += 1;
                    counts.keys.push((key, false));
                });
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn send(&self, uri: String, body: &str, key: Option<&str>, doubts: u32) -> Reply {
        let mut req = http::Request::post(uri)
            .header(lift_entry::WORKSPACE_HEADER, "depot")
            .header(lift_entry::DEADLINE_HEADER, DEADLINE_MS);
        if let Some(key) = key {
            req = req.header(lift_entry::KEY_HEADER, key);
        }
        if doubts > 0 {
            req = req.header(lift_entry::REPEAT_HEADER, doubts);
        }
        let Ok(req) = req.body(http_body_util::Full::from(String::from(body))) else {
            return Reply::Broken;
        };
        let Ok(Ok(response)) = tokio::time::timeout(PATIENCE, self.client.request(req)).await
        else {
            return Reply::Broken;
        };
        let status = response.status();
        let Ok(Ok(body)) = tokio::time::timeout(PATIENCE, response.collect()).await else {
            return Reply::Broken;
        };
        let body = body.to_bytes();
        if status.is_success() {
            return Reply::Answer(body);
        }
        let json: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let outcome = json["outcome"].as_str().unwrap_or_default();
        Reply::Outcome(String::from(outcome))
    }

    fn judge_chat(&self, request: u64, due: time::Instant, body: &str, answer: &[u8], way: Way) {
        let elapsed = due.elapsed().as_micros() as u64;
        let text = lift_standin::AnswerText::new(body.as_bytes(), TOKENS);
        let is_right = answer == text.whole(requests_host::VERSION).as_bytes();
        self.tally.with(request, |counts| {
            let latencies = match way {
                Way::Through => {
                    counts.wrong += u64::from(!is_right);
                    &mut counts.through
                }
                Way::Direct => &mut counts.direct,
            };
            let _ = latencies.record(elapsed);
        });
    }

    fn body(&self, request: u64) -> String {
        format!("draft spread plan {} of run {}", request, self.seed)
    }
}

/// Which way a request took.
#[derive(Clone, Copy, Debug)]
enum Way {
    Through,
    Direct,
}
