//! Settings of the entry role.

use std::{net, path};

use crate::{entry_limits, tls_settings};

/// Listeners, control addresses and limits of an entry.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Address for callers' HTTP requests.
    pub caller_listener: net::SocketAddr,
    /// Address of the administration API. It must be a loopback address unless
    /// `admin_token_file` is set.
    pub admin_listener: net::SocketAddr,
    /// TCP address at which agents reach control operations and the swarm view.
    pub relay_listener: net::SocketAddr,
    /// UDP address for agents' heartbeats.
    pub heartbeat_listener: net::SocketAddr,
    /// Client listeners of the control members.
    pub control_addrs: Vec<net::SocketAddr>,
    /// TLS for the caller listener and the admin listener. Both use plain HTTP without it.
    #[serde(default)]
    pub tls: Option<tls_settings::TlsSettings>,
    /// File with the hashed bearer tokens of the administration API. It is read again when
    /// it changes.
    #[serde(default)]
    pub admin_token_file: Option<path::PathBuf>,
    /// HTTP address at which the platform takes notice of the readiness, as
    /// `PUT /readiness`. Without it the platform asks the caller listener for `/ready`.
    #[serde(default)]
    pub platform_addr: Option<net::SocketAddr>,
    /// Limits on callers.
    #[serde(default)]
    pub limits: entry_limits::EntryLimits,
}
