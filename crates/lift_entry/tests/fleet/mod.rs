//! Small fleet on the loopback interface for the tests of this crate.

#![allow(dead_code)]

use std::{sync, time};

use http_body_util::BodyExt as _;
use hyper_util::{client::legacy, rt};
use lift_border::ServingControl as _;

type Client = legacy::Client<legacy::connect::HttpConnector, http_body_util::Full<bytes::Bytes>>;

/// Platform that records the readiness reported last.
#[derive(Debug, Default)]
pub struct Platform {
    last_readiness: sync::Mutex<Option<lift_border::Readiness>>,
}

impl Platform {
    pub fn last_readiness(&self) -> Option<lift_border::Readiness> {
        *self.last_readiness.lock().unwrap()
    }
}

#[async_trait::async_trait]
impl lift_border::Platform for Platform {
    async fn set_readiness(
        &self,
        readiness: lift_border::Readiness,
    ) -> Result<(), error_stack::Report<lift_border::PlatformError>> {
        *self.last_readiness.lock().unwrap() = Some(readiness);
        Ok(())
    }
}

/// Reply received by a caller.
#[derive(Debug)]
pub struct Reply {
    /// Zero if no head was received.
    pub status: u16,
    pub headers: http::HeaderMap,
    /// `None` if the body was not received completely.
    pub body: Option<String>,
}

impl Reply {
    pub fn is_ok(&self) -> bool {
        self.status == 200
    }

    pub fn outcome(&self) -> (String, String) {
        let body = self.body.as_deref().unwrap_or("null");
        let json: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
        let text = |name: &str| String::from(json[name].as_str().unwrap_or_default());
        (text("outcome"), text("reason"))
    }
}

/// Model replica: an engine, the version that it serves, and its agent.
pub struct Replica {
    pub engine: lift_standin::AnswerEngine,
    pub version: tokio::sync::watch::Sender<Option<String>>,
    pub serve: sync::Arc<lift_serve::RequestServer>,
}

/// Plain service "ledger" with its agent.
pub struct Ledger {
    pub ledger: lift_standin::PlainLedger,
    pub serve: sync::Arc<lift_serve::RequestServer>,
}

/// Control, entries, and what agents need to join them.
pub struct Fleet {
    pub control: sync::Arc<lift_standin::MemoryControl>,
    pub entries: Vec<lift_entry::Entry>,
    pub platform: sync::Arc<Platform>,
    pub keys: sync::Arc<lift_wire::LinkKeys>,
    pub client: Client,
}

pub fn policy() -> lift_types::Policy {
    let mut policy = lift_types::Policy::default();
    let method = |name: &str| (String::from(name), lift_types::Idempotency::Idempotent);
    policy.default.services.insert(
        String::from("assistant"),
        lift_types::ServicePolicy {
            kind: lift_types::ServiceKind::Model,
            methods: [method("chat")].into(),
        },
    );
    policy.default.services.insert(
        String::from("ledger"),
        lift_types::ServicePolicy {
            kind: lift_types::ServiceKind::Plain,
            methods: [method("lookup")].into(),
        },
    );
    policy
}

pub fn location(host: u32) -> lift_types::Location {
    lift_types::Location {
        region: String::from("piedmont"),
        failure_domain: String::from("piedmont-1"),
        host,
    }
}

impl Fleet {
    pub async fn start(entries: u32) -> Self {
        Self::with_limits(entries, lift_entry::EntryLimits::default()).await
    }

    pub async fn with_limits(entries: u32, limits: lift_entry::EntryLimits) -> Self {
        let control = lift_standin::MemoryControl::start(policy());
        let key = lift_wire::LinkKey::new(1, [7; 32]);
        let keys = sync::Arc::new(lift_wire::LinkKeys::new(key));
        let platform = sync::Arc::new(Platform::default());
        let mut started = Vec::new();
        for host in 0..entries {
            let entry = lift_entry::Entry::builder()
                .location(location(1_000 + host))
                .keys(sync::Arc::clone(&keys))
                .control(sync::Arc::clone(&control) as _)
                .platform(sync::Arc::clone(&platform) as _)
                .limits(limits.clone())
                .start()
                .await
                .unwrap();
            started.push(entry);
        }
        let client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
        Self {
            control,
            entries: started,
            platform,
            keys,
            client,
        }
    }

    pub fn serve_builder(&self, host: u32, incarnation: u64) -> lift_serve::RequestServerBuilder {
        let entries = self.entries.iter().map(|entry| entry.heartbeat_addr());
        lift_serve::RequestServer::builder()
            .location(location(host))
            .incarnation(incarnation)
            .keys(sync::Arc::clone(&self.keys))
            .control(sync::Arc::clone(&self.control) as _)
            .entries(entries.collect())
    }

    pub async fn replica(&self, host: u32, version: &str, token_delay: time::Duration) -> Replica {
        let loaded = Some(String::from(version));
        let (version_tx, version_rx) = tokio::sync::watch::channel(loaded);
        let engine = lift_standin::AnswerEngine::start(version_rx, token_delay)
            .await
            .unwrap();
        let echo = lift_border::EchoCheck::Required;
        let backend = lift_border::HttpBackend::new(engine.addr(), echo);
        let serve = self
            .serve_builder(host, 1)
            .backend(sync::Arc::new(backend))
            .service("assistant")
            .kind(lift_types::ServiceKind::Model)
            .start()
            .await
            .unwrap();
        serve.open(lift_types::ServingVersion {
            version: String::from(version),
            fencing: 1,
        });
        Replica {
            engine,
            version: version_tx,
            serve: sync::Arc::new(serve),
        }
    }

    pub async fn ledger(&self, host: u32) -> Ledger {
        let ledger = lift_standin::PlainLedger::start().await.unwrap();
        let serve = self.ledger_agent(&ledger, host, 1, None).await;
        Ledger { ledger, serve }
    }

    /// Starts an agent for `ledger`. If `relay` is given, entries connect to the agent through it.
    pub async fn ledger_agent(
        &self,
        ledger: &lift_standin::PlainLedger,
        host: u32,
        incarnation: u64,
        relay: Option<&lift_standin::AnswerRelay>,
    ) -> sync::Arc<lift_serve::RequestServer> {
        let echo = lift_border::EchoCheck::Required;
        let backend = lift_border::HttpBackend::new(ledger.addr(), echo);
        let mut builder = self
            .serve_builder(host, incarnation)
            .backend(sync::Arc::new(backend))
            .service("ledger");
        if let Some(relay) = relay {
            builder = builder.advertise(relay.addr());
        }
        let serve = builder.start().await.unwrap();
        if let Some(relay) = relay {
            relay.set_target(serve.call_addr());
        }
        sync::Arc::new(serve)
    }

    /// Waits until each entry has `count` live agents.
    pub async fn wait_for_agents(&self, count: usize) {
        for entry in &self.entries {
            wait_until(|| entry.live_agents().len() == count).await;
        }
        // The routing table is updated some time after the directory.
        tokio::time::sleep(time::Duration::from_millis(60)).await;
    }

    pub async fn call(&self, entry: usize, path: &str, headers: &[(&str, &str)]) -> Reply {
        self.call_with_body(entry, path, headers, "draft a spread plan")
            .await
    }

    pub async fn call_with_body(
        &self,
        entry: usize,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let addr = self.entries[entry].http_addr();
        let reply = call(&self.client, addr, path, headers, body).await;
        reply.unwrap_or(Reply {
            status: 0,
            headers: http::HeaderMap::new(),
            body: None,
        })
    }
}

/// Sends a request to `addr`. Returns `None` if no head was received.
pub async fn call(
    client: &Client,
    addr: std::net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Reply> {
    let mut req = http::Request::post(format!("http://{addr}{path}"));
    if !headers.iter().any(|(name, _)| *name == "x-lift-workspace") {
        req = req.header("x-lift-workspace", "depot");
    }
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let body = http_body_util::Full::from(String::from(body));
    let response = client.request(req.body(body).unwrap()).await.ok()?;
    let (parts, body) = response.into_parts();
    let collected = body.collect().await.ok();
    let text = |c: http_body_util::Collected<bytes::Bytes>| {
        String::from_utf8(c.to_bytes().to_vec()).unwrap()
    };
    Some(Reply {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: collected.map(text),
    })
}

pub async fn wait_until(mut is_met: impl FnMut() -> bool) {
    for _ in 0..1_000 {
        if is_met() {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    panic!("the condition was not met within 10 s");
}
