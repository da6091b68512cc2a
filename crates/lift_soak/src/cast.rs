//! Who takes part, and at which addresses.

use std::net;

use crate::ends;

/// First of the ports for listeners between nodes.
pub(crate) const FIRST_PORT: u16 = 18_100;

/// Ports for listeners between nodes.
pub(crate) const PORTS: u16 = 4;

/// Port of control, of callers, and of backend servers and the origin.
pub(crate) const SERVICE_PORT: u16 = 18_110;

/// Port for the readiness of gateways.
const READY_PORT: u16 = 18_111;

/// Control members.
pub(crate) const CONTROLS: u8 = 3;

/// Gateways.
pub(crate) const GATEWAYS: u8 = 2;

/// Backend servers with engines, each with an agent.
pub(crate) const ENGINES: u8 = 2;

/// Backend servers without engines.
pub(crate) const PLAIN_SERVERS: u8 = 2;

/// Failure domain of all hosts but some backend servers.
pub(crate) const DOMAIN: &str = "d";

/// Failure domain of the last backend server of each kind.
pub(crate) const EVACUATED_DOMAIN: &str = "e";

/// First host numbers of the roles.
const FIRST_CONTROL: u8 = 10;
const FIRST_GATEWAY: u8 = 20;
const FIRST_AGENT: u8 = 30;
const FIRST_PLAIN: u8 = 40;
const ORIGIN: u8 = 50;

/// Addresses of a fleet on loopback. Each host has two: others reach it at the first, where a
/// forwarder listens, and its own listeners are at the second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cast {
    network: u8,
}

impl Cast {
    /// Uses the loopback addresses 127.`network`.x.x, which no other soak may use meanwhile.
    pub(crate) fn new(network: u8) -> Self {
        Self { network }
    }

    /// Hosts with processes of the fleet.
    pub(crate) fn hosts() -> impl Iterator<Item = u8> {
        let controls = FIRST_CONTROL..FIRST_CONTROL + CONTROLS;
        let gateways = FIRST_GATEWAY..FIRST_GATEWAY + GATEWAYS;
        controls
            .chain(gateways)
            .chain(FIRST_AGENT..FIRST_AGENT + ENGINES)
    }

    /// Host of control member `i`.
    pub(crate) fn control(i: u8) -> u8 {
        FIRST_CONTROL + i
    }

    /// Where operators and backend servers reach the control members, which are the seeds.
    pub(crate) fn seeds(self) -> impl Iterator<Item = net::SocketAddr> {
        (0..CONTROLS).map(move |i| self.service(Self::control(i)).public)
    }

    /// Host of gateway `i`.
    pub(crate) fn gateway(i: u8) -> u8 {
        FIRST_GATEWAY + i
    }

    /// Where callers reach the gateways.
    pub(crate) fn gateways(self) -> impl Iterator<Item = ends::Ends> {
        (0..GATEWAYS).map(move |i| self.service(Self::gateway(i)))
    }

    /// Host of agent `i` and of the backend server beside it.
    pub(crate) fn agent(i: u8) -> u8 {
        FIRST_AGENT + i
    }

    /// Host of plain backend server `i`.
    pub(crate) fn plain(i: u8) -> u8 {
        FIRST_PLAIN + i
    }

    /// Failure domain of a backend server.
    pub(crate) fn server_domain(host: u8) -> &'static str {
        let last = [Self::agent(ENGINES - 1), Self::plain(PLAIN_SERVERS - 1)];
        match last.contains(&host) {
            true => EVACUATED_DOMAIN,
            false => DOMAIN,
        }
    }

    /// Host of the origin.
    pub(crate) fn origin() -> u8 {
        ORIGIN
    }

    pub(crate) fn is_control(host: u8) -> bool {
        (FIRST_CONTROL..FIRST_GATEWAY).contains(&host)
    }

    pub(crate) fn is_gateway(host: u8) -> bool {
        (FIRST_GATEWAY..FIRST_AGENT).contains(&host)
    }

    pub(crate) fn is_agent(host: u8) -> bool {
        (FIRST_AGENT..FIRST_PLAIN).contains(&host)
    }

    /// Address at which others reach a host.
    pub(crate) fn public(self, host: u8) -> net::Ipv4Addr {
        net::Ipv4Addr::new(127, self.network, 1, host)
    }

    /// Address at which a host listens.
    pub(crate) fn own(self, host: u8) -> net::Ipv4Addr {
        net::Ipv4Addr::new(127, self.network, 2, host)
    }

    /// Ends of the service port of a host.
    pub(crate) fn service(self, host: u8) -> ends::Ends {
        self.ends(host, SERVICE_PORT)
    }

    /// Where a gateway says whether it is ready.
    pub(crate) fn ready(self, host: u8) -> net::SocketAddr {
        net::SocketAddr::from((self.own(host), READY_PORT))
    }

    /// Listeners of a host that are reached through forwarders.
    pub(crate) fn listeners(self, host: u8) -> Vec<ends::Ends> {
        let mut ports = vec![SERVICE_PORT];
        if Self::is_control(host) {
            ports.extend([FIRST_PORT, FIRST_PORT + 1]);
        }
        if Self::is_agent(host) {
            ports.push(FIRST_PORT + 2);
        }
        ports.into_iter().map(|p| self.ends(host, p)).collect()
    }

    fn ends(self, host: u8, port: u16) -> ends::Ends {
        ends::Ends {
            public: net::SocketAddr::from((self.public(host), port)),
            own: net::SocketAddr::from((self.own(host), port)),
        }
    }
}
