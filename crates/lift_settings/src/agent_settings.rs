//! Settings of the agent role.

use std::{net, path};

use crate::backend_kind;

/// Upload limit of an agent without a setting: 64 MiB/s, which leaves half of a 1 Gbit/s
/// link to live requests.
const DEFAULT_UPLOAD_BYTES_PER_S: u64 = 64 * 1024 * 1024;

/// Longest load order without a setting. It is half of the default lease.
const DEFAULT_ORDER_LIMIT_MS: u64 = 15_000;

/// Listeners and neighbours of an agent.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Address at which entries reach this agent with calls. Entries in other processes must
    /// be able to reach it, so it must not be an unspecified address.
    pub call_listener: net::SocketAddr,
    /// Address at which other agents reach the chunk server. It must not be an unspecified
    /// address.
    pub chunk_listener: net::SocketAddr,
    /// HTTP address of the backend server.
    pub backend_addr: net::SocketAddr,
    /// Kind of the backend server.
    pub backend_kind: backend_kind::BackendKind,
    /// HTTP address for orders to the engine. Required for a model engine.
    #[serde(default)]
    pub engine_addr: Option<net::SocketAddr>,
    /// HTTP address of the origin of weights. Required for a model engine.
    #[serde(default)]
    pub origin_addr: Option<net::SocketAddr>,
    /// HTTP address of a weight store, where there is one.
    #[serde(default)]
    pub weight_store_addr: Option<net::SocketAddr>,
    /// Relay listeners of the entries of the region.
    pub relay_addrs: Vec<net::SocketAddr>,
    /// Heartbeat listeners of the entries of the region.
    pub heartbeat_addrs: Vec<net::SocketAddr>,
    /// Folder for verified chunks and weights.
    pub data_dir: path::PathBuf,
    /// Services that the backend server answers.
    pub services: Vec<lift_types::ServiceId>,
    /// Longest time of a load order in milliseconds. It must be at most half of
    /// `control.lease_ms`, since the agent sends an order only under a lease that outlasts it.
    #[serde(default = "default_order_limit")]
    pub order_limit_ms: u64,
    /// Most bytes of chunks that are sent to other agents per second.
    #[serde(default = "default_upload")]
    pub upload_bytes_per_s: u64,
}

fn default_upload() -> u64 {
    DEFAULT_UPLOAD_BYTES_PER_S
}

fn default_order_limit() -> u64 {
    DEFAULT_ORDER_LIMIT_MS
}
