//! Which gateways get the next load report.

use std::net;

/// Gateways of other regions that get the same report. The others get one of the next reports.
const FAR_PER_REPORT: usize = 4;

/// Gateways of other regions get at least one in this many reports. Even if that one is lost, the
/// next must arrive before they ignore the last one for its age.
const MAX_STRIDE: usize = 3;

/// Chooses the gateways that get each load report.
///
/// Gateways in the region of the backend server send it most of its requests and get all reports.
/// Those of other regions send it few, and there are many of them in a large fleet, so they take
/// turns: each report to them crosses a narrow link and costs both ends processor time.
#[derive(Clone, Debug, Default)]
pub struct ReportAudience {
    near: Vec<net::SocketAddr>,
    far: Vec<net::SocketAddr>,
    turn: usize,
}

impl ReportAudience {
    /// Sets the gateways, after the nodes of the fleet have changed. `region` is that of the
    /// backend server.
    pub fn set_gateways(&mut self, region: &str, nodes: &[lift_feed::NodeCard]) {
        let gateways = nodes
            .iter()
            .filter(|card| card.kind == lift_feed::NodeKind::Gateway);
        self.near.clear();
        self.far.clear();
        for card in gateways {
            let group = match card.location.region == region {
                true => &mut self.near,
                false => &mut self.far,
            };
            group.extend(card.load_addr);
        }
    }

    /// The gateways that get the next report.
    pub fn next_report(&mut self) -> impl Iterator<Item = net::SocketAddr> {
        let stride = self.far.len().div_ceil(FAR_PER_REPORT).clamp(1, MAX_STRIDE);
        self.turn = (self.turn + 1) % stride;
        let far = self.far.iter().skip(self.turn).step_by(stride);
        self.near.iter().chain(far).copied()
    }
}
