//! The agent role of a node.

use std::{net, sync, time};

use error_stack::ResultExt as _;
use lift_rpc::ControlPort as _;
use tokio::sync::watch;

use crate::{node_context, node_error, serving_slot};

/// Longest wait for requests in progress before a switch is given up.
const DRAIN_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Pause before a failed registration is repeated.
const REGISTER_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Interval at which the weights side learns the number of live requests. It is well below
/// the time of a chunk on a host link.
const LIVE_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// An agent: request side, and weights side for a model engine.
#[derive(Debug)]
pub(crate) struct AgentRole {
    serve: sync::Arc<lift_serve::RequestServer>,
    swarm: parking_lot::Mutex<Option<lift_swarm::Swarm>>,
    _client: sync::Arc<lift_rpc::ControlClient>,
    _live: tokio_util::sync::DropGuard,
}

type Result<T> = std::result::Result<T, error_stack::Report<node_error::NodeError>>;

impl AgentRole {
    /// Registers the agent and starts both sides.
    pub(crate) async fn start(
        cx: &node_context::NodeContext,
        cfg: &lift_settings::AgentSettings,
    ) -> Result<Self> {
        let client = lift_rpc::ControlClient::builder()
            .addresses(cfg.relay_addrs.iter().copied())
            .keys(cx.keys.clone())
            .log(cx.log.clone())
            .counters(cx.counters.clone())
            .start()
            .change_context(node_error::NodeError::Agent)?;
        let client = sync::Arc::new(client);
        let stopped = tokio_util::sync::CancellationToken::new();
        let (live, live_requests) = watch::channel(0);
        let (swarm, serve) = match cfg.backend_kind {
            lift_settings::BackendKind::Model => {
                let slot = sync::Arc::new(serving_slot::ServingSlot::default());
                let swarm = start_swarm(cx, cfg, &client, slot.clone(), live_requests).await?;
                let builder = lift_serve::RequestServer::builder()
                    .kind(lift_types::ServiceKind::Model)
                    .incarnation(swarm.incarnation())
                    .chunk_addr(swarm.local_addr());
                let serve = start_serve(cx, cfg, &client, builder).await?;
                slot.set(serve.clone());
                (Some(swarm), serve)
            }
            lift_settings::BackendKind::Plain => {
                let builder = lift_serve::RequestServer::builder()
                    .kind(lift_types::ServiceKind::Plain)
                    .incarnation(register(cx, &client).await);
                (None, start_serve(cx, cfg, &client, builder).await?)
            }
        };
        tokio::spawn(follow_live(serve.clone(), live, stopped.clone()));
        Ok(Self {
            serve,
            swarm: parking_lot::Mutex::new(swarm),
            _client: client,
            _live: stopped.drop_guard(),
        })
    }

    /// Address for calls.
    pub(crate) fn call_addr(&self) -> net::SocketAddr {
        self.serve.call_addr()
    }

    /// Refuses new work and finishes the requests in progress, then stops the weights side.
    /// Returns the number of requests that were cut off.
    pub(crate) async fn stop(&self, grace: time::Duration) -> usize {
        let until = tokio::time::Instant::now() + grace;
        let cut = self.serve.stop(grace).await;
        let swarm = self.swarm.lock().take();
        if let Some(swarm) = swarm {
            let _ = tokio::time::timeout_at(until, swarm.stop()).await;
        }
        cut
    }
}

async fn start_swarm(
    cx: &node_context::NodeContext,
    cfg: &lift_settings::AgentSettings,
    client: &sync::Arc<lift_rpc::ControlClient>,
    slot: sync::Arc<serving_slot::ServingSlot>,
    live_requests: watch::Receiver<u32>,
) -> Result<lift_swarm::Swarm> {
    let missing = || error_stack::Report::new(node_error::NodeError::Settings);
    let engine = cfg.engine_addr.ok_or_else(missing)?;
    let origin = cfg.origin_addr.ok_or_else(missing)?;
    let order = time::Duration::from_millis(cfg.order_limit_ms);
    let limits = lift_swarm::SwarmLimits::default()
        .upload_rate(cfg.upload_bytes_per_s)
        .activation(order, DRAIN_LIMIT);
    let mut builder = lift_swarm::Swarm::builder()
        .location(cx.location.clone())
        .keys(cx.keys.clone())
        .listen(cfg.chunk_listener)
        .data_dir(cfg.data_dir.clone())
        .limits(limits)
        .control(client.clone())
        .swarm(client.clone())
        .origin(sync::Arc::new(lift_border::HttpOrigin::new(&base(origin))))
        .engine(sync::Arc::new(lift_border::HttpEngine::new(&base(engine))))
        .serving(slot)
        .live_requests(live_requests)
        .counters(cx.counters.clone())
        .log(cx.log.clone());
    if let Some(addr) = cfg.weight_store_addr {
        let store = lift_border::HttpWeightStore::new(&base(addr));
        builder = builder.weight_store(sync::Arc::new(store));
    }
    builder
        .start()
        .await
        .change_context(node_error::NodeError::Agent)
}

async fn start_serve(
    cx: &node_context::NodeContext,
    cfg: &lift_settings::AgentSettings,
    client: &sync::Arc<lift_rpc::ControlClient>,
    mut builder: lift_serve::RequestServerBuilder,
) -> Result<sync::Arc<lift_serve::RequestServer>> {
    for service in &cfg.services {
        builder = builder.service(service);
    }
    let echo = lift_border::EchoCheck::Required;
    let backend = lift_border::HttpBackend::new(cfg.backend_addr, echo);
    let serve = builder
        .location(cx.location.clone())
        .keys(sync::Arc::new(cx.keys.clone()))
        .backend(sync::Arc::new(backend))
        .control(client.clone())
        .listen(cfg.call_listener)
        .entries(cfg.heartbeat_addrs.clone())
        .counters(cx.counters.clone())
        .logger(cx.log.clone())
        .start()
        .await
        .change_context(node_error::NodeError::Agent)?;
    Ok(sync::Arc::new(serve))
}

fn base(addr: net::SocketAddr) -> String {
    format!("http://{addr}")
}

/// Registers under one random number until control answers, so that a lost answer does not
/// give two incarnations.
async fn register(
    cx: &node_context::NodeContext,
    client: &lift_rpc::ControlClient,
) -> lift_types::Incarnation {
    let registration = lift_state::Registration {
        location: cx.location.clone(),
        start_id: rand::random(),
    };
    loop {
        match client.register(registration.clone()).await {
            Ok(incarnation) => return incarnation,
            Err(e) => slog::warn!(cx.log, "registration failed, trying again";
                "error" => %e.current_context()),
        }
        tokio::time::sleep(REGISTER_PAUSE).await;
    }
}

async fn follow_live(
    serve: sync::Arc<lift_serve::RequestServer>,
    live: watch::Sender<u32>,
    stopped: tokio_util::sync::CancellationToken,
) {
    let follow = async {
        loop {
            let count = serve.in_progress() as u32;
            live.send_if_modified(|last| std::mem::replace(last, count) != count);
            tokio::time::sleep(LIVE_INTERVAL).await;
        }
    };
    stopped.run_until_cancelled(follow).await;
}
