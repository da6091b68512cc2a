//! Settings of the demo's nodes.

use std::{net, path};

/// Memory of a node of the demo, in megabytes.
const MEMORY_MB: u64 = 128;

/// Names of the regions, from the depots of the Cooperative.
const REGIONS: [&str; 3] = ["delta-east", "piedmont", "plateau"];

/// Fewest replicas of a region. With two, one serves while the other one switches.
const REPLICAS_PER_REGION: u32 = 2;

/// Most bytes per second that a replica sends to others: half of a 1 Gbit/s link.
const UPLOAD_BYTES_PER_S: u64 = 64 * 1024 * 1024;

/// Lease of the agents.
const LEASE_MS: u64 = 20_000;

/// Service of the model replicas.
pub(crate) const MODEL: &str = "assistant";

/// Plain service.
pub(crate) const LEDGER: &str = "ledger";

/// Makes settings of nodes with ports that the system chooses.
#[derive(Clone, Debug)]
pub(crate) struct DemoSettings {
    pub(crate) key: path::PathBuf,
}

impl DemoSettings {
    /// A control member.
    pub(crate) fn control(&self, data_dir: path::PathBuf) -> lift_settings::Settings {
        let mut settings = self.node(1, 0, lift_settings::Role::Control);
        settings.control = Some(lift_settings::ControlSettings {
            peer_listener: any_port(),
            client_listener: any_port(),
            member: 1,
            members: vec![lift_settings::ControlMember {
                id: 1,
                peer_addr: any_port(),
                client_addr: any_port(),
            }],
            start: lift_settings::ControlStart::NewCluster,
            admin_listener: None,
            admin_token_file: None,
            lease_ms: LEASE_MS,
            data_dir,
        });
        settings
    }

    /// An entry.
    pub(crate) fn entry(&self, control: net::SocketAddr) -> lift_settings::Settings {
        let mut settings = self.node(2, 0, lift_settings::Role::Entry);
        settings.entry = Some(lift_settings::EntrySettings {
            caller_listener: any_port(),
            admin_listener: any_port(),
            relay_listener: any_port(),
            heartbeat_listener: any_port(),
            control_addrs: vec![control],
            tls: None,
            admin_token_file: None,
            platform_addr: None,
            limits: lift_settings::EntryLimits::default(),
        });
        settings
    }

    /// An agent beside a plain service.
    pub(crate) fn plain_agent(
        &self,
        host: lift_types::HostId,
        entry: crate::NodeAddrs,
        backend: net::SocketAddr,
        data_dir: path::PathBuf,
    ) -> lift_settings::Settings {
        let mut settings = self.node(host, 0, lift_settings::Role::Agent);
        settings.agent = Some(lift_settings::AgentSettings {
            call_listener: any_port(),
            chunk_listener: any_port(),
            backend_addr: backend,
            backend_kind: lift_settings::BackendKind::Plain,
            engine_addr: None,
            origin_addr: None,
            weight_store_addr: None,
            relay_addrs: entry.relay.into_iter().collect(),
            heartbeat_addrs: entry.heartbeat.into_iter().collect(),
            data_dir,
            services: vec![String::from(LEDGER)],
            order_limit_ms: LEASE_MS / 2,
            upload_bytes_per_s: UPLOAD_BYTES_PER_S,
        });
        settings
    }

    /// An agent beside an engine. `region` counts from zero.
    pub(crate) fn model_agent(
        &self,
        host: lift_types::HostId,
        region: u32,
        entry: crate::NodeAddrs,
        engine: &crate::demo_engine::DemoEngine,
        origin: net::SocketAddr,
        data_dir: path::PathBuf,
    ) -> lift_settings::Settings {
        let mut settings = self.plain_agent(host, entry, engine.answer_addr(), data_dir);
        (settings.region, settings.failure_domain) = place(region);
        if let Some(agent) = &mut settings.agent {
            agent.backend_kind = lift_settings::BackendKind::Model;
            agent.engine_addr = Some(engine.order_addr());
            agent.origin_addr = Some(origin);
            agent.services = vec![String::from(MODEL)];
        }
        settings
    }

    fn node(
        &self,
        host: lift_types::HostId,
        region: u32,
        role: lift_settings::Role,
    ) -> lift_settings::Settings {
        let (region, failure_domain) = place(region);
        lift_settings::Settings {
            host,
            region,
            failure_domain,
            roles: vec![role],
            log_level: String::from("info"),
            metrics_receiver: None,
            grace_ms: 10_000,
            memory_mb: MEMORY_MB,
            link_keys: lift_settings::LinkKeySettings {
                current: lift_settings::KeyFile {
                    id: 1,
                    file: self.key.clone(),
                },
                accepted: Vec::new(),
            },
            entry: None,
            agent: None,
            control: None,
        }
    }
}

/// Number of regions that `replicas` are spread over.
pub(crate) fn regions(replicas: u32) -> u32 {
    (replicas / REPLICAS_PER_REGION).clamp(1, REGIONS.len() as u32)
}

fn place(region: u32) -> (String, String) {
    let name = REGIONS[region as usize % REGIONS.len()];
    (String::from(name), format!("{name}-1"))
}

fn any_port() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
}
