//! Settings of the control role.

use std::{net, path};

/// Settings of a control member.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct FleetControl {
    /// Where operators and backend servers call.
    pub listener: net::SocketAddr,
    /// Folder for all files.
    pub data_dir: path::PathBuf,
}
