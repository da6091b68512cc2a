//! A host of the request experiment.

use std::{net, sync, time};

use error_stack::ResultExt as _;
use lift_border::ServingControl as _;
use lift_rpc::ControlPort as _;

use crate::{bench_error, requests_control, requests_role};

/// Version that all engines serve.
pub(crate) const VERSION: &str = "v1";

/// Worker threads of one agent.
const THREADS: usize = 1;

type Result<T> = std::result::Result<T, error_stack::Report<bench_error::BenchError>>;

/// What answers on a host.
#[derive(Debug)]
pub(crate) enum RequestsBackend {
    /// A model engine.
    Engine(lift_standin::AnswerEngine),
    /// A ledger.
    Ledger(lift_standin::PlainLedger),
}

/// A backend server, its agent, and the device on the path to the agent.
#[derive(Debug)]
pub(crate) struct RequestsHost {
    pub(crate) backend: RequestsBackend,
    pub(crate) serve: Option<sync::Arc<lift_serve::RequestServer>>,
    pub(crate) relay: Option<lift_standin::AnswerRelay>,
    pub(crate) role: requests_role::RequestsRole,
}

/// What all agents share.
#[derive(Clone, Debug)]
pub(crate) struct RequestsSite {
    pub(crate) keys: sync::Arc<lift_wire::LinkKeys>,
    pub(crate) control: sync::Arc<requests_control::RequestsControl>,
    pub(crate) entries: Vec<net::SocketAddr>,
}

/// Whether the path to an agent can lose its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestsPath {
    /// Straight.
    Direct,
    /// Through a relay.
    Relayed,
}

impl RequestsBackend {
    /// Starts an engine.
    pub(crate) async fn engine() -> Result<Self> {
        let loaded = Some(String::from(VERSION));
        let (_, version) = tokio::sync::watch::channel(loaded);
        let engine = lift_standin::AnswerEngine::start(version, time::Duration::ZERO)
            .await
            .change_context(bench_error::BenchError::Start)?;
        Ok(Self::Engine(engine))
    }

    /// Starts a ledger.
    pub(crate) async fn ledger() -> Result<Self> {
        let ledger = lift_standin::PlainLedger::start()
            .await
            .change_context(bench_error::BenchError::Start)?;
        Ok(Self::Ledger(ledger))
    }

    pub(crate) fn addr(&self) -> net::SocketAddr {
        match self {
            Self::Engine(engine) => engine.addr(),
            Self::Ledger(ledger) => ledger.addr(),
        }
    }

    pub(crate) fn set_fault(&self, fault: lift_standin::AnswerFault) {
        match self {
            Self::Engine(engine) => engine.set_fault(fault),
            Self::Ledger(ledger) => ledger.set_fault(fault),
        }
    }

    /// How often the release with `key` ran here.
    pub(crate) fn runs(&self, key: &str) -> u32 {
        match self {
            Self::Engine(_) => 0,
            Self::Ledger(ledger) => ledger.runs(key),
        }
    }
}

impl RequestsHost {
    /// Starts the agent of host number `host`.
    pub(crate) async fn start(
        host: lift_types::HostId,
        backend: RequestsBackend,
        site: RequestsSite,
        path: RequestsPath,
    ) -> Result<Self> {
        let role = requests_role::RequestsRole::start("req-agent", THREADS)?;
        let relay = match path {
            RequestsPath::Direct => None,
            RequestsPath::Relayed => {
                let relay = lift_standin::AnswerRelay::start().await;
                Some(relay.change_context(bench_error::BenchError::Start)?)
            }
        };
        let advertise = relay.as_ref().map(lift_standin::AnswerRelay::addr);
        let addr = backend.addr();
        let kind = match &backend {
            RequestsBackend::Engine(_) => lift_types::ServiceKind::Model,
            RequestsBackend::Ledger(_) => lift_types::ServiceKind::Plain,
        };
        let started = role.run(start_agent(host, addr, kind, site, advertise));
        let serve = started.await??;
        if let Some(relay) = &relay {
            relay.set_target(serve.call_addr());
        }
        Ok(Self {
            backend,
            serve: Some(sync::Arc::new(serve)),
            relay,
            role,
        })
    }

    /// Kills the agent.
    pub(crate) fn kill(&mut self) {
        self.role.kill();
        self.serve = None;
    }
}

async fn start_agent(
    host: lift_types::HostId,
    backend: net::SocketAddr,
    kind: lift_types::ServiceKind,
    site: RequestsSite,
    advertise: Option<net::SocketAddr>,
) -> Result<lift_serve::RequestServer> {
    let start = bench_error::BenchError::Start;
    let control = site.control.client()?;
    requests_control::wait_for_services(control.as_ref()).await?;
    let location = location(host);
    let registration = lift_state::Registration {
        location: location.clone(),
        start_id: u64::from(host),
    };
    let incarnation = control
        .register(registration)
        .await
        .change_context(start.clone())?;
    let echo = lift_border::EchoCheck::Required;
    let service = match kind {
        lift_types::ServiceKind::Model => "assistant",
        lift_types::ServiceKind::Plain => "ledger",
    };
    let mut builder = lift_serve::RequestServer::builder()
        .location(location)
        .incarnation(incarnation)
        .keys(site.keys)
        .control(control)
        .backend(sync::Arc::new(lift_border::HttpBackend::new(backend, echo)))
        .service(service)
        .kind(kind)
        .max_in_progress(8_192)
        .entries(site.entries);
    if let Some(addr) = advertise {
        builder = builder.advertise(addr);
    }
    let serve = builder.start().await.change_context(start)?;
    if kind == lift_types::ServiceKind::Model {
        serve.open(lift_types::ServingVersion {
            version: String::from(VERSION),
            fencing: 1,
        });
    }
    Ok(serve)
}

/// Where host number `host` is.
pub(crate) fn location(host: lift_types::HostId) -> lift_types::Location {
    lift_types::Location {
        region: String::from("region-0"),
        failure_domain: String::from("region-0-a"),
        host,
    }
}
