//! A small fleet on the loopback interface for the tests of this crate.

use std::{sync, time};

use lift_border::ServingControl as _;
use lift_rpc::ControlPort as _;
use lift_standin::{ControlStandin, EngineOrders, EngineTokenCheck, OriginStandin};
use lift_swarm::{Swarm, SwarmLimits, SwarmStatus};
use lift_types::{Location, ServingVersion};

/// Timeout for a state that a test expects.
pub const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Chunk size of the test weights, in bytes.
pub const CHUNK_BYTES: u32 = 4 * 1024;

/// Request side that has no requests and records the version that it is opened for.
#[derive(Debug, Default)]
pub struct ServingRecorder {
    serving: parking_lot::Mutex<Option<ServingVersion>>,
}

#[async_trait::async_trait]
impl lift_border::ServingControl for ServingRecorder {
    async fn close_and_drain(&self, _: time::Duration) -> usize {
        *self.serving.lock() = None;
        0
    }

    fn open(&self, version: ServingVersion) {
        *self.serving.lock() = Some(version);
    }

    fn serving(&self) -> Option<ServingVersion> {
        self.serving.lock().clone()
    }
}

/// Location, stores and engine of a host, which survive a restart of its agent.
#[derive(Debug)]
pub struct Host {
    pub location: Location,
    pub dir: tempfile::TempDir,
    pub engine: sync::Arc<EngineOrders>,
    pub serving_control: sync::Arc<ServingRecorder>,
    pub counters: sync::Arc<lift_obs::Counters>,
}

impl Host {
    pub fn new(host: u32, region: &str, check: EngineTokenCheck) -> Self {
        Self {
            location: Location {
                region: String::from(region),
                failure_domain: format!("{region}-a"),
                host,
            },
            dir: tempfile::tempdir().unwrap(),
            engine: sync::Arc::new(EngineOrders::new(check, time::Duration::ZERO)),
            serving_control: sync::Arc::default(),
            counters: sync::Arc::default(),
        }
    }

    pub fn serving(&self) -> Option<String> {
        self.serving_control
            .serving()
            .map(|serving| serving.version)
    }
}

/// Stand-ins for the origin and for control, shared by the agents of a fleet.
#[derive(Debug)]
pub struct Fleet {
    pub origin: OriginStandin,
    pub control: sync::Arc<ControlStandin>,
}

impl Fleet {
    pub async fn start() -> Self {
        Self {
            origin: OriginStandin::start().await.unwrap(),
            control: sync::Arc::new(ControlStandin::new()),
        }
    }

    /// Publishes weights of `length` bytes generated from `seed`.
    pub async fn publish(&self, version: &str, seed: u64, length: usize) {
        self.publish_bytes(version, weights(seed, length)).await;
    }

    pub async fn publish_bytes(&self, version: &str, bytes: bytes::Bytes) {
        let manifest = self.origin.publish(version, bytes, CHUNK_BYTES);
        self.control.publish(manifest).await.unwrap();
    }

    pub fn set_default(&self, version: &str) {
        self.control
            .set_policy(|policy| policy.default.version = Some(String::from(version)));
    }

    pub async fn start_agent(&self, host: &Host) -> Swarm {
        let download = lift_transfer::DownloadConfig::default()
            .timeouts(
                time::Duration::from_secs(1),
                time::Duration::from_millis(200),
            )
            .upstream_timeout(time::Duration::from_millis(500));
        let limits = SwarmLimits::default()
            .download(download)
            .engine(
                time::Duration::from_millis(50),
                time::Duration::from_millis(100),
            )
            .activation(time::Duration::from_secs(5), time::Duration::from_secs(1))
            .view_interval(time::Duration::from_millis(100));
        let key = lift_wire::LinkKey::new(1, [7; 32]);
        let swarm = Swarm::builder()
            .location(host.location.clone())
            .keys(lift_wire::LinkKeys::new(key))
            .listen("127.0.0.1:0".parse().unwrap())
            .data_dir(host.dir.path().to_path_buf())
            .limits(limits)
            .control(self.control.clone())
            .swarm(self.control.clone())
            .origin(sync::Arc::new(lift_border::HttpOrigin::new(
                &self.origin.base(),
            )))
            .engine(host.engine.clone())
            .serving(host.serving_control.clone())
            .counters(host.counters.clone())
            .start()
            .await
            .unwrap();
        self.control.add_peer(lift_transfer::SwarmPeer {
            location: host.location.clone(),
            incarnation: swarm.incarnation(),
            chunk_addr: swarm.local_addr(),
        });
        swarm
    }
}

/// Returns pseudorandom bytes that depend on `seed`, so that all chunks differ.
pub fn weights(seed: u64, length: usize) -> bytes::Bytes {
    let mut reader = blake3::Hasher::new()
        .update(&seed.to_le_bytes())
        .finalize_xof();
    let mut buf = vec![0; length];
    reader.fill(&mut buf);
    bytes::Bytes::from(buf)
}

/// Waits until the status of an agent satisfies `expected`.
pub async fn wait_for(swarm: &Swarm, expected: impl FnMut(&SwarmStatus) -> bool) {
    let mut status = swarm.status();
    let waited = tokio::time::timeout(WAIT_TIMEOUT, status.wait_for(expected)).await;
    if waited.is_err() {
        panic!(
            "not reached within {WAIT_TIMEOUT:?}: {:?}",
            swarm.status().borrow()
        );
    }
}

pub async fn wait_serving(swarm: &Swarm, version: &str) {
    wait_for(swarm, |status| {
        status
            .serving
            .as_ref()
            .is_some_and(|s| s.version == version)
    })
    .await;
}
