//! Settings of a node of a fleet whose backend servers announce themselves.

use std::{net, path, time};

use crate::{
    fleet_agent, fleet_bounds, fleet_control, fleet_gateway, fleet_links, settings_error,
    settings_text,
};

/// Ports that are needed for the listeners between nodes.
const NEEDED_PORTS: u16 = 4;

type Result<T> = std::result::Result<T, error_stack::Report<settings_error::SettingsError>>;

/// Everything that `marjoramlift fleet` reads from its settings file.
/// `docs/operate/fleet-settings.md` lists the fields.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Name of this node, for logs.
    pub node: String,
    /// Address of the host, at which the other nodes reach it.
    pub ip: net::Ipv4Addr,
    /// Address at which the control listener and those between nodes are opened, if other nodes
    /// reach them elsewhere: behind address translation, or a forwarder.
    #[serde(default)]
    pub listen_ip: Option<net::Ipv4Addr>,
    /// Region of the host.
    pub region: lift_types::RegionId,
    /// Failure domain of the host.
    pub failure_domain: lift_types::FailureDomainId,
    /// Region of each failure domain of the fleet.
    #[serde(default)]
    pub failure_domains: indexmap::IndexMap<lift_types::FailureDomainId, lift_types::RegionId>,
    /// First and last port for listeners between nodes, the same on all nodes. Four are used.
    pub ports: (u16, u16),
    /// Control listeners of a few control members.
    pub seeds: Vec<net::SocketAddr>,
    /// Whether the whole fleet starts for the first time. The seeds are then the first control
    /// members, so all nodes must have the same ones in the same order.
    #[serde(default)]
    pub first_start: bool,
    /// Links between nodes. `open` uses a key that everybody knows: whoever can reach the
    /// ports can take part, so the network must keep others away.
    pub links: fleet_links::FleetLinks,
    /// Lowest level that is logged: trace, debug, info, warning, error or critical.
    #[serde(default = "settings_text::default_log_level")]
    pub log_level: String,
    /// Where counters and latencies are served as text over HTTP. Not served without it.
    #[serde(default)]
    pub metrics: Option<net::SocketAddr>,
    /// Memory that the process may use, in megabytes. Two fifths of it are for what is held for
    /// callers, operators and backend servers.
    #[serde(default = "settings_text::default_memory_mb")]
    pub memory_mb: u64,
    /// Times and shares that the deployment sets.
    #[serde(default)]
    pub bounds: fleet_bounds::FleetBounds,
    /// Takes the requests of callers.
    #[serde(default)]
    pub gateway: Option<fleet_gateway::FleetGateway>,
    /// Is a control member.
    #[serde(default)]
    pub control: Option<fleet_control::FleetControl>,
    /// Stands beside a backend server.
    #[serde(default)]
    pub agent: Option<fleet_agent::FleetAgent>,
}

impl FleetSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first field at fault.
    pub fn load(file: &path::Path) -> Result<Self> {
        let settings = Self::parse(&settings_text::read(file)?)?;
        settings.check()?;
        Ok(settings)
    }

    /// Decodes settings without looking at how fields fit together.
    ///
    /// # Errors
    ///
    /// Returns the first field that is unknown, missing or of the wrong type.
    pub fn parse(text: &str) -> Result<Self> {
        settings_text::parse(text)
    }

    /// Checks that the fields fit together.
    ///
    /// # Errors
    ///
    /// Returns the first field at fault.
    pub fn check(&self) -> Result<()> {
        let (first, last) = self.ports;
        let is_long = last
            .checked_sub(first)
            .is_some_and(|more| more >= NEEDED_PORTS - 1);
        if first == 0 || !is_long {
            return fault(
                "ports",
                "the range is too short",
                "at least 4 ports above 0",
            );
        }
        if self.seeds.is_empty() {
            return fault("seeds", "is empty", "at least one address");
        }
        if self.gateway.is_none() && self.control.is_none() && self.agent.is_none() {
            let allowed = "at least one of gateway, control and agent";
            return fault("(file)", "no role is set", allowed);
        }
        settings_text::check_memory_mb(self.memory_mb)?;
        self.bounds.check()
    }

    /// Longest time of a graceful shutdown.
    pub fn grace(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.bounds.grace_s)
    }
}

fn fault(path: &str, problem: &str, allowed: &str) -> Result<()> {
    let error = settings_error::SettingsError::new(path, problem, allowed);
    Err(error_stack::Report::new(error))
}
