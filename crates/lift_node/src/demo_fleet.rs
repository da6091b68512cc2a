//! The nodes and stand-ins of the demo.

use std::{fs, io, net, path, sync, time};

use error_stack::ResultExt as _;

use crate::{demo_engine, demo_error, demo_settings, node};

/// Host of the plain service's agent. Control and entry are hosts 1 and 2.
const LEDGER_HOST: lift_types::HostId = 3;

/// Host of the first model replica.
const FIRST_REPLICA_HOST: lift_types::HostId = 101;

/// Longest time for one node to stop.
const STOP_GRACE: time::Duration = time::Duration::from_secs(5);

/// Control, an entry and agents, each a node of its own, with the systems at their borders.
#[derive(Debug)]
pub(crate) struct DemoFleet {
    pub(crate) origin: lift_standin::OriginStandin,
    pub(crate) ledger: lift_standin::PlainLedger,
    _engines: Vec<demo_engine::DemoEngine>,
    agents: Vec<node::Node>,
    entry: node::Node,
    control: node::Node,
}

type Result<T> = std::result::Result<T, error_stack::Report<demo_error::DemoError>>;

impl DemoFleet {
    /// Starts all nodes with their data under `dir`.
    pub(crate) async fn start(replicas: u32, dir: &path::Path, log: &slog::Logger) -> Result<Self> {
        let failed = demo_error::DemoError::Start;
        let key = dir.join("link.key");
        let secret = lift_types::ChunkHash(rand::random());
        fs::write(&key, secret.to_hex()).change_context(failed("the link key"))?;
        let settings = demo_settings::DemoSettings { key };
        let control = settings.control(folder(dir, "control")?);
        let control = start(&control, log, "control").await?;
        let entry = settings.entry(addr(control.addrs().control, "control")?);
        let entry = start(&entry, log, "the entry").await?;

        let origin = lift_standin::OriginStandin::start().await;
        let origin = origin.change_context(failed("the origin"))?;
        let ledger = lift_standin::PlainLedger::start().await;
        let ledger = ledger.change_context(failed("the ledger"))?;
        let mut engines = Vec::new();
        let plain_dir = folder(dir, "ledger")?;
        let plain = settings.plain_agent(LEDGER_HOST, entry.addrs(), ledger.addr(), plain_dir);
        let mut agents = vec![plain];
        for i in 0..replicas {
            let engine = demo_engine::DemoEngine::start().await;
            let engine = engine.change_context(failed("an engine"))?;
            let host = FIRST_REPLICA_HOST + i;
            agents.push(settings.model_agent(
                host,
                i % demo_settings::regions(replicas),
                entry.addrs(),
                &engine,
                origin.local_addr(),
                folder(dir, &format!("host-{host}"))?,
            ));
            engines.push(engine);
        }
        let agents = agents.iter().map(|cfg| start(cfg, log, "an agent"));
        let agents = futures_util::future::try_join_all(agents).await?;
        Ok(Self {
            origin,
            ledger,
            _engines: engines,
            agents,
            entry,
            control,
        })
    }

    /// Control operations, as the entry uses them.
    pub(crate) fn control(&self) -> Result<sync::Arc<dyn lift_rpc::ControlPort>> {
        let missing = || error_stack::Report::new(demo_error::DemoError::Start("the entry"));
        self.entry.control().ok_or_else(missing)
    }

    /// Address for callers.
    pub(crate) fn caller_addr(&self) -> Result<net::SocketAddr> {
        addr(self.entry.addrs().caller, "the entry")
    }

    /// Whether the entry knows an agent of the plain service.
    pub(crate) fn has_ledger(&self) -> bool {
        let agents = self.entry.live_agents();
        agents
            .iter()
            .any(|agent| agent.location.host == LEDGER_HOST)
    }

    /// Number of replicas that serve `version`, by their heartbeats.
    pub(crate) fn serving(&self, version: &str) -> u32 {
        let agents = self.entry.live_agents();
        let serving = agents.iter().filter_map(|agent| agent.serving.as_ref());
        serving.filter(|s| s.version == version).count() as u32
    }

    /// Stops all nodes, entry first.
    pub(crate) async fn stop(self) {
        self.entry.stop(STOP_GRACE).await;
        let stops = self.agents.iter().map(|agent| agent.stop(STOP_GRACE));
        futures_util::future::join_all(stops).await;
        self.control.stop(STOP_GRACE).await;
    }
}

async fn start(
    settings: &lift_settings::Settings,
    log: &slog::Logger,
    what: &'static str,
) -> Result<node::Node> {
    let node = node::Node::start(settings, log.clone()).await;
    node.change_context(demo_error::DemoError::Start(what))
}

fn addr(addr: Option<net::SocketAddr>, what: &'static str) -> Result<net::SocketAddr> {
    addr.ok_or_else(|| error_stack::Report::new(demo_error::DemoError::Start(what)))
}

fn folder(dir: &path::Path, name: &str) -> Result<path::PathBuf> {
    let folder = dir.join(name);
    let made: io::Result<()> = fs::create_dir(&folder);
    made.change_context(demo_error::DemoError::Start("the data folders"))?;
    Ok(folder)
}
