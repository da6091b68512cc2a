//! Settings of the control role.

use std::{net, path};

use crate::{control_member, control_start};

/// Lease without a setting. Twice the longest load order of an agent fits into it.
const DEFAULT_LEASE_MS: u64 = 30_000;

/// Listeners, members and data folder of a control member.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Address for other control members.
    pub peer_listener: net::SocketAddr,
    /// Address for entries.
    pub client_listener: net::SocketAddr,
    /// Identifier of this member.
    pub member: lift_types::MemberId,
    /// All members, this one included. They are the same on every member.
    pub members: Vec<control_member::ControlMember>,
    /// `new_cluster` for the first members, `join` for a host that replaces another one. A
    /// member that lost its disk must join under a new identifier.
    #[serde(default)]
    pub start: control_start::ControlStart,
    /// Address of the administration API for the members of control. There is none without
    /// it. It must be a loopback address unless `admin_token_file` is set.
    #[serde(default)]
    pub admin_listener: Option<net::SocketAddr>,
    /// File with the hashed bearer tokens of that API.
    #[serde(default)]
    pub admin_token_file: Option<path::PathBuf>,
    /// Time of an agent's lease and of a grant, in milliseconds. It is the same on every
    /// member. A new leader grants nothing for as long.
    #[serde(default = "default_lease")]
    pub lease_ms: u64,
    /// Folder for log and snapshots. Its files are synced before a change is acknowledged.
    pub data_dir: path::PathBuf,
}

fn default_lease() -> u64 {
    DEFAULT_LEASE_MS
}
