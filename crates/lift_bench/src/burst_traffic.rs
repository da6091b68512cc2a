//! Traffic of all links during a burst.

use crate::burst_fleet;

/// Bytes carried by each link.
#[derive(Clone, Debug)]
pub(crate) struct BurstTraffic {
    /// Bytes of weights that the origin sent.
    pub(crate) origin: u64,
    hosts: Vec<lift_standin::LinkTraffic>,
    regions: Vec<lift_standin::LinkTraffic>,
}

impl BurstTraffic {
    pub(crate) fn of(fleet: &burst_fleet::BurstFleet, regions: u32) -> Self {
        let hosts = fleet.hosts.iter();
        Self {
            origin: fleet.origin.bytes_read(),
            hosts: hosts
                .map(|host| fleet.links.host_traffic(host.ip))
                .collect(),
            regions: (0..regions)
                .map(|region| {
                    fleet
                        .links
                        .region_traffic(&burst_fleet::region_name(region))
                })
                .collect(),
        }
    }

    /// Bytes carried since `before`.
    pub(crate) fn since(&self, before: &Self) -> Self {
        Self {
            origin: self.origin - before.origin,
            hosts: subtract(&self.hosts, &before.hosts),
            regions: subtract(&self.regions, &before.regions),
        }
    }

    /// Most bytes over one host link, either way.
    pub(crate) fn max_host(&self) -> u64 {
        max(&self.hosts)
    }

    /// Most bytes over one region link, either way.
    pub(crate) fn max_region(&self) -> u64 {
        max(&self.regions)
    }
}

fn subtract(
    after: &[lift_standin::LinkTraffic],
    before: &[lift_standin::LinkTraffic],
) -> Vec<lift_standin::LinkTraffic> {
    let pairs = after.iter().zip(before);
    pairs
        .map(|(after, before)| lift_standin::LinkTraffic {
            inbound: after.inbound - before.inbound,
            outbound: after.outbound - before.outbound,
        })
        .collect()
}

fn max(all: &[lift_standin::LinkTraffic]) -> u64 {
    let both = all
        .iter()
        .map(|traffic| traffic.inbound.max(traffic.outbound));
    both.max().unwrap_or_default()
}
