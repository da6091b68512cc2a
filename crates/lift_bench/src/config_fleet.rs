//! Relays and nodes of the configuration experiment.

use std::{net, sync, time};

use error_stack::ResultExt as _;
use lift_rpc::ControlPort as _;

use crate::{bench_error, config_forwarder, config_timeline};

type Result<T> = std::result::Result<T, error_stack::Report<bench_error::BenchError>>;

/// Regions, as at both users.
const REGIONS: u32 = 3;

/// Relays in each region, so that nodes have another one.
const RELAYS_PER_REGION: u32 = 2;

/// Interval at which an entry confirms its revision. There are few entries, and all agents
/// of an entry depend on it.
const ENTRY_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// An entry: a client of control and a relay for agents.
#[derive(Debug)]
struct Entry {
    client: sync::Arc<lift_rpc::ControlClient>,
    server: lift_rpc::ControlServer,
    forwarder: config_forwarder::ConfigForwarder,
}

/// A node that follows the policy.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) client: lift_rpc::ControlClient,
    pub(crate) timeline: sync::Arc<config_timeline::ConfigTimeline>,
    follower: tokio::task::JoinHandle<()>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.follower.abort();
    }
}

/// Entries and nodes in three regions.
#[derive(Debug)]
pub(crate) struct ConfigFleet {
    entries: Vec<Entry>,
    pub(crate) nodes: Vec<Node>,
}

impl ConfigFleet {
    /// Starts the entries.
    pub(crate) async fn start(
        control: &[net::SocketAddr],
        keys: &lift_wire::LinkKeys,
    ) -> Result<Self> {
        let mut entries = Vec::new();
        for _ in 0..REGIONS * RELAYS_PER_REGION {
            entries.push(Entry::start(control, keys).await?);
        }
        Ok(Self {
            entries,
            nodes: Vec::new(),
        })
    }

    /// Starts the nodes and waits until each has confirmed its revision.
    pub(crate) async fn start_nodes(
        &mut self,
        count: u32,
        keys: &lift_wire::LinkKeys,
        limit: time::Duration,
    ) -> Result<()> {
        for i in 0..count {
            let region = (i % REGIONS) as usize;
            let relays = self.entries.iter().skip(region).step_by(REGIONS as usize);
            let addresses = relays.map(|entry| entry.forwarder.address());
            let client = lift_rpc::ControlClient::builder()
                .addresses(addresses)
                .keys(keys.clone())
                .start()
                .change_context(bench_error::BenchError::Start)?;
            let timeline = sync::Arc::new(config_timeline::ConfigTimeline::default());
            let following = sync::Arc::clone(&timeline).follow(client.watch());
            self.nodes.push(Node {
                client,
                timeline,
                follower: tokio::spawn(following),
            });
        }
        self.wait_for_revision(0, limit).await
    }

    /// Waits until each node has a revision and has confirmed it.
    pub(crate) async fn wait_for_revision(
        &self,
        revision: lift_types::Revision,
        limit: time::Duration,
    ) -> Result<()> {
        let all = async {
            for node in &self.nodes {
                let mut views = node.client.watch();
                let ready = |view: &lift_types::PolicyView| {
                    view.policy.revision >= revision && view.is_confirmed(time::Instant::now())
                };
                let _ = views.wait_for(ready).await;
            }
        };
        let seconds = limit.as_secs();
        tokio::time::timeout(limit, all)
            .await
            .change_context(bench_error::BenchError::Timeout { seconds })
    }

    /// Client of an entry, through which operators make changes.
    pub(crate) fn operator(&self, at: usize) -> sync::Arc<lift_rpc::ControlClient> {
        sync::Arc::clone(&self.entries[at % self.entries.len()].client)
    }

    /// Cuts the nodes of the first region off from their entries, without an error.
    pub(crate) fn cut_region(&self) {
        for entry in self.entries.iter().step_by(REGIONS as usize) {
            entry.forwarder.set(config_forwarder::Path::Cut);
        }
    }

    /// Connects the first region again. Open connections stay silent.
    pub(crate) fn heal_region(&self) {
        for entry in self.entries.iter().step_by(REGIONS as usize) {
            let path = config_forwarder::Path::To(entry.server.address());
            entry.forwarder.set(path);
        }
    }

    /// Bytes between entries and nodes, both ways.
    pub(crate) fn node_bytes(&self) -> u64 {
        self.entries.iter().map(|e| e.forwarder.bytes()).sum()
    }
}

impl Entry {
    async fn start(control: &[net::SocketAddr], keys: &lift_wire::LinkKeys) -> Result<Self> {
        let client = lift_rpc::ControlClient::builder()
            .addresses(control.iter().copied())
            .keys(keys.clone())
            .confirm_interval(ENTRY_INTERVAL)
            .start()
            .change_context(bench_error::BenchError::Start)?;
        let client = sync::Arc::new(client);
        let relay = lift_rpc::Relay::start(
            sync::Arc::clone(&client) as sync::Arc<dyn lift_rpc::ControlPort>
        );
        let server = lift_rpc::ControlServer::builder()
            .keys(keys.clone())
            .port(relay)
            .bind(net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)))
            .await
            .change_context(bench_error::BenchError::Start)?;
        let path = config_forwarder::Path::To(server.address());
        let forwarder = config_forwarder::ConfigForwarder::start(path)
            .await
            .change_context(bench_error::BenchError::Start)?;
        Ok(Self {
            client,
            server,
            forwarder,
        })
    }
}
