//! The fleet of the burst experiment.

use std::{net, sync, time};

use error_stack::ResultExt as _;
use lift_rpc::ControlPort as _;

use crate::{bench_error, burst_host, burst_live, burst_options, burst_rates};

/// Address of the origin's link.
const ORIGIN_IP: net::IpAddr = net::IpAddr::V4(net::Ipv4Addr::new(127, 2, 0, 1));

/// Number of chunks of the weights. More chunks shorten the time until all uploaders have
/// something to send, and cost more messages.
const CHUNKS: u64 = 256;

/// Size of the version that the hosts serve before the burst, in bytes.
const FIRST_BYTES: usize = 64 * 1024;

/// Share of a link that chunk traffic may use.
const CHUNK_SHARE: f64 = 0.98;

type Result<T> = std::result::Result<T, error_stack::Report<bench_error::BenchError>>;

/// Hosts, links, origin and control of one run.
#[derive(Debug)]
pub(crate) struct BurstFleet {
    pub(crate) rates: burst_rates::BurstRates,
    pub(crate) links: sync::Arc<lift_standin::LinkNet>,
    pub(crate) origin: lift_standin::OriginStandin,
    pub(crate) control: sync::Arc<lift_standin::ControlStandin>,
    pub(crate) hosts: Vec<sync::Arc<burst_host::BurstHost>>,
    pub(crate) agents: Vec<Option<lift_swarm::Swarm>>,
    pub(crate) live: sync::Arc<burst_live::BurstLive>,
    /// Counters of all agents together.
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    origin_base: String,
    chunk_size: u32,
    data: tempfile::TempDir,
    callers: tokio::task::JoinSet<()>,
}

impl BurstFleet {
    /// Starts the hosts, which serve the version `first`, and live requests to them.
    pub(crate) async fn start(options: &burst_options::BurstOptions) -> Result<Self> {
        let start = bench_error::BenchError::Start;
        let rates = burst_rates::BurstRates::of(options);
        let links = sync::Arc::new(lift_standin::LinkNet::new());
        links.add_origin(ORIGIN_IP, rates.origin);
        for region in 0..options.regions {
            links.add_region(&region_name(region), rates.region);
        }
        let origin = lift_standin::OriginStandin::start()
            .await
            .change_context(start.clone())?;
        let relay = links
            .relay(ORIGIN_IP, origin.local_addr())
            .await
            .change_context(start.clone())?;
        let live = burst_live::BurstLive::new().ok_or_else(|| start.clone())?;
        let mut fleet = Self {
            rates,
            links,
            origin,
            control: sync::Arc::new(lift_standin::ControlStandin::new()),
            hosts: Vec::new(),
            agents: Vec::new(),
            live: sync::Arc::new(live),
            counters: sync::Arc::default(),
            origin_base: format!("http://{relay}"),
            chunk_size: (options.bytes / CHUNKS) as u32,
            data: tempfile::tempdir().change_context(start)?,
            callers: tokio::task::JoinSet::new(),
        };
        fleet
            .publish("first", weights(options.seed, FIRST_BYTES))
            .await?;
        fleet.control.set_policy(|policy| {
            policy.default.transfer_goal = options.policy;
            policy.default.version = Some(String::from("first"));
        });
        for i in 0..options.hosts {
            fleet.add_host(options, i).await?;
        }
        fleet.wait_serving("first").await?;
        Ok(fleet)
    }

    /// Makes a version known at the origin and at control.
    pub(crate) async fn publish(&self, version: &str, bytes: bytes::Bytes) -> Result<()> {
        let manifest = self.origin.publish(version, bytes, self.chunk_size);
        self.control
            .publish(manifest)
            .await
            .change_context(bench_error::BenchError::Start)
    }

    /// Waits until each agent that is left serves `version`, and returns when each did,
    /// earliest first.
    pub(crate) async fn wait_serving(&self, version: &str) -> Result<Vec<time::Instant>> {
        let mut waits = tokio::task::JoinSet::new();
        for agent in self.agents.iter().flatten() {
            let mut status = agent.status();
            let version = String::from(version);
            waits.spawn(async move {
                let serves = |status: &lift_swarm::SwarmStatus| {
                    status
                        .serving
                        .as_ref()
                        .is_some_and(|s| s.version == version)
                };
                let _ = status.wait_for(serves).await;
                time::Instant::now()
            });
        }
        let mut times = waits.join_all().await;
        times.sort_unstable();
        Ok(times)
    }

    /// Reads the first `part` bytes of a version from the origin, as each host that is left
    /// does in the baseline. A lost host has no link, so its reads would never end.
    pub(crate) async fn read_from_origin(&self, version: &str, part: u64) {
        use lift_border::Origin as _;
        let mut reads = tokio::task::JoinSet::new();
        let hosts = self.hosts.iter().zip(&self.agents);
        for (host, _) in hosts.filter(|(_, agent)| agent.is_some()) {
            let origin = lift_border::HttpOrigin::from_ip(&self.origin_base, host.ip);
            let (version, step) = (String::from(version), u64::from(self.chunk_size));
            reads.spawn(async move {
                for start in (0..part).step_by(step as usize) {
                    let range = start..(start + step).min(part);
                    while origin.read(&version, range.clone()).await.is_err() {
                        tokio::time::sleep(time::Duration::from_millis(100)).await;
                    }
                }
            });
        }
        reads.join_all().await;
    }

    /// Loses a host for good. Control learns of it after the time in which an entry misses
    /// its heartbeats.
    pub(crate) fn lose(&mut self, host: usize) {
        let lost = &self.hosts[host];
        self.links.set_state(lost.ip, lift_standin::LinkState::Down);
        self.agents[host] = None;
        let (control, id) = (self.control.clone(), lost.location.host);
        tokio::spawn(async move {
            tokio::time::sleep(time::Duration::from_secs(2)).await;
            control.remove_host(id);
        });
    }

    /// Stops live requests, agents and links.
    pub(crate) async fn stop(mut self) {
        self.callers.abort_all();
        let mut stops = tokio::task::JoinSet::new();
        for agent in std::mem::take(&mut self.agents).into_iter().flatten() {
            stops.spawn(agent.stop());
        }
        stops.join_all().await;
        self.links.stop();
    }

    async fn add_host(&mut self, options: &burst_options::BurstOptions, i: u32) -> Result<()> {
        let start = || bench_error::BenchError::Start;
        let region = region_name(i % options.regions);
        let ip = host_ip(i);
        self.links.add_host(ip, &region, self.rates.host);
        let location = lift_types::Location {
            failure_domain: format!("{region}-a"),
            region,
            host: i,
        };
        let host = sync::Arc::new(burst_host::BurstHost::new(location, ip));
        let agent = self.start_agent(&host).await?;
        let chunk_addr = self
            .links
            .relay(ip, agent.local_addr())
            .await
            .change_context(start())?;
        self.control.add_peer(lift_transfer::SwarmPeer {
            location: host.location.clone(),
            incarnation: agent.incarnation(),
            chunk_addr,
        });
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .change_context(start())?;
        let target = listener.local_addr().change_context(start())?;
        let addr = self.links.relay(ip, target).await.change_context(start())?;
        self.callers.spawn(host.clone().listen(listener));
        let seed = options.seed.wrapping_mul(1_000).wrapping_add(u64::from(i));
        self.callers.spawn(self.live.clone().call(addr, seed));
        self.hosts.push(host);
        self.agents.push(Some(agent));
        Ok(())
    }

    async fn start_agent(
        &self,
        host: &sync::Arc<burst_host::BurstHost>,
    ) -> Result<lift_swarm::Swarm> {
        let share = (self.rates.host as f64 * CHUNK_SHARE) as u64;
        let download = lift_transfer::DownloadConfig::default().origin_rate(self.rates.origin);
        let limits = lift_swarm::SwarmLimits::default()
            .download(download)
            .upload_rate(share)
            .activation(time::Duration::from_secs(20), time::Duration::from_secs(10));
        let origin = lift_border::HttpOrigin::from_ip(&self.origin_base, host.ip);
        let key = lift_wire::LinkKey::new(1, [7; 32]);
        let dir = self.data.path().join(host.location.host.to_string());
        lift_swarm::Swarm::builder()
            .location(host.location.clone())
            .keys(lift_wire::LinkKeys::new(key))
            .listen(net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)))
            .local_ip(host.ip)
            .data_dir(dir)
            .limits(limits)
            .control(self.control.clone())
            .swarm(self.control.clone())
            .origin(sync::Arc::new(origin))
            .engine(host.engine.clone())
            .serving(host.clone())
            .live_requests(host.live_requests())
            .counters(self.counters.clone())
            .start()
            .await
            .change_context(bench_error::BenchError::Start)
    }
}

/// Bytes that depend on `seed`.
pub(crate) fn weights(seed: u64, length: usize) -> bytes::Bytes {
    let mut reader = blake3::Hasher::new()
        .update(&seed.to_le_bytes())
        .finalize_xof();
    let mut buf = vec![0; length];
    reader.fill(&mut buf);
    bytes::Bytes::from(buf)
}

pub(crate) fn region_name(region: u32) -> String {
    format!("region-{region}")
}

fn host_ip(host: u32) -> net::IpAddr {
    let [_, _, high, low] = (host + 256).to_be_bytes();
    net::IpAddr::V4(net::Ipv4Addr::new(127, 3, high, low))
}
