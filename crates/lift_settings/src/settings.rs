//! Settings of a node.

use std::{net, path, time};

use crate::{
    agent_settings, check, control_settings, entry_settings, link_key_settings, role,
    settings_error, settings_text,
};

/// Grace time without a setting, in milliseconds.
const DEFAULT_GRACE_MS: u64 = 30_000;

/// Everything that a node reads from its settings file. `docs/operate/settings.md` lists
/// the fields.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Number of this node. It is unique in the fleet.
    pub host: lift_types::HostId,
    /// Region of the host.
    pub region: lift_types::RegionId,
    /// Failure domain of the host, within the region.
    pub failure_domain: lift_types::FailureDomainId,
    /// Roles of this node. Each one needs the section of the same name.
    pub roles: Vec<role::Role>,
    /// Lowest level that is logged: trace, debug, info, warning, error or critical.
    #[serde(default = "settings_text::default_log_level")]
    pub log_level: String,
    /// UDP address of a statsd receiver for counters. Nothing is sent without it.
    #[serde(default)]
    pub metrics_receiver: Option<net::SocketAddr>,
    /// Longest time in milliseconds that a graceful shutdown takes.
    #[serde(default = "default_grace_ms")]
    pub grace_ms: u64,
    /// Memory that the process may use, in megabytes. Two fifths of it are for the bodies of
    /// callers and operators.
    #[serde(default = "settings_text::default_memory_mb")]
    pub memory_mb: u64,
    /// Keys of the links between nodes.
    pub link_keys: link_key_settings::LinkKeySettings,
    /// Settings of the entry role.
    #[serde(default)]
    pub entry: Option<entry_settings::EntrySettings>,
    /// Settings of the agent role.
    #[serde(default)]
    pub agent: Option<agent_settings::AgentSettings>,
    /// Settings of the control role.
    #[serde(default)]
    pub control: Option<control_settings::ControlSettings>,
}

impl Settings {
    /// Reads and checks a settings file. Relative paths in it are relative to the working
    /// directory.
    ///
    /// # Errors
    ///
    /// Returns the first field at fault.
    pub fn load(
        file: &path::Path,
    ) -> Result<Self, error_stack::Report<settings_error::SettingsError>> {
        let settings = Self::parse(&settings_text::read(file)?)?;
        settings.check()?;
        Ok(settings)
    }

    /// Decodes settings without looking at files or at how fields fit together.
    ///
    /// # Errors
    ///
    /// Returns the first field that is unknown, missing or of the wrong type.
    pub fn parse(text: &str) -> Result<Self, error_stack::Report<settings_error::SettingsError>> {
        settings_text::parse(text)
    }

    /// Checks that the fields fit together and that the files they name can be read.
    ///
    /// # Errors
    ///
    /// Returns the first field at fault.
    pub fn check(&self) -> Result<(), error_stack::Report<settings_error::SettingsError>> {
        Ok(check::check(self)?)
    }

    /// Where this node is.
    pub fn location(&self) -> lift_types::Location {
        lift_types::Location {
            region: self.region.clone(),
            failure_domain: self.failure_domain.clone(),
            host: self.host,
        }
    }

    /// Longest time of a graceful shutdown.
    pub fn grace(&self) -> time::Duration {
        time::Duration::from_millis(self.grace_ms)
    }

    /// Whether the node has `role`.
    pub fn has(&self, role: role::Role) -> bool {
        self.roles.contains(&role)
    }
}

fn default_grace_ms() -> u64 {
    DEFAULT_GRACE_MS
}
