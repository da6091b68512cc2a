//! Division of the backend servers of a service between regions.

use crate::region_capacity;

/// Part of each server's free places that is shared by the other regions whatever their demand, so
/// that a region with a burst finds some elsewhere.
const COMMON_SHARE: f64 = 0.2;

/// Which part of the free places of each region's servers the gateways of each region may use.
///
/// Gateways of a region with too few servers (evacuated, lost, or fewer than its callers need) use
/// the surplus of other regions. The division follows from the lists of servers and gateways, which
/// all gateways know, so they agree without a message, and it changes only with those lists, so it
/// does not oscillate with the load. See `docs/design/locality.md`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionBalance {
    /// Shares by region of the servers and then by region of the gateways, both sorted.
    shares: indexmap::IndexMap<lift_types::RegionId, RegionShares>,
}

type RegionShares = indexmap::IndexMap<lift_types::RegionId, f64>;

impl RegionBalance {
    /// Divides between the regions whose capacities are given.
    pub fn new(regions: &[region_capacity::RegionCapacity]) -> Self {
        let mut regions = regions.to_vec();
        regions.sort_by(|a, b| a.region.cmp(&b.region));
        let slots: f64 = regions.iter().map(|r| r.slots).sum();
        let gateways: f64 = regions.iter().map(|r| r.gateways).sum();
        if slots <= 0.0 || gateways <= 0.0 {
            return Self::default();
        }
        let demands: Vec<RegionDemand> = regions
            .iter()
            .map(|r| RegionDemand::new(r, slots, gateways))
            .collect();
        let deficits: f64 = demands.iter().map(RegionDemand::deficit).sum();
        let share_of = |servers: &RegionDemand, user: &RegionDemand| {
            (1.0 - COMMON_SHARE) * demanded_share(servers, user, deficits)
                + COMMON_SHARE * common_share(servers, user, gateways)
        };
        let with_servers = demands.iter().filter(|region| region.capacity > 0.0);
        let shares = with_servers.map(|servers| {
            let users = demands.iter();
            let shares = users.map(|user| (user.region.clone(), share_of(servers, user)));
            (servers.region.clone(), shares.collect())
        });
        Self {
            shares: shares.collect(),
        }
    }

    /// Section of the free places of servers in `server_region` that the gateways of
    /// `gateway_region` may use: its start and its end, both from 0 to 1. Each section starts
    /// exactly where the one before it ends. `None` for a region that is not known.
    pub fn section(&self, server_region: &str, gateway_region: &str) -> Option<(f64, f64)> {
        let shares = self.shares.get(server_region)?;
        let position = shares.get_index_of(gateway_region)?;
        let boundary = |count: usize| match count < shares.len() {
            true => shares.values().take(count).sum(),
            false => 1.0,
        };
        Some((boundary(position), boundary(position + 1)))
    }
}

/// Capacity and demand of a region, as parts of the servers of all regions.
#[derive(Debug)]
struct RegionDemand {
    region: lift_types::RegionId,
    gateways: f64,
    capacity: f64,
    demand: f64,
}

impl RegionDemand {
    fn new(region: &region_capacity::RegionCapacity, slots: f64, gateways: f64) -> Self {
        Self {
            region: region.region.clone(),
            gateways: region.gateways,
            capacity: region.slots / slots,
            demand: region.gateways / gateways,
        }
    }

    /// Demand that its own servers can't serve.
    fn deficit(&self) -> f64 {
        (self.demand - self.capacity).max(0.0)
    }

    /// Capacity beyond its own demand.
    fn surplus(&self) -> f64 {
        (self.capacity - self.demand).max(0.0)
    }
}

/// Part of the servers of a region that serves the demand of `user`: its own servers up to its
/// demand, and the surplus of other regions in proportion to the deficits.
fn demanded_share(servers: &RegionDemand, user: &RegionDemand, deficits: f64) -> f64 {
    if servers.region == user.region {
        return servers.demand.min(servers.capacity) / servers.capacity;
    }
    if deficits <= 0.0 {
        return 0.0;
    }
    servers.surplus() / servers.capacity * user.deficit() / deficits
}

/// Part of the servers of a region that is left to gateways of other regions, in proportion to
/// their number. Without any, the gateways of the region have all.
fn common_share(servers: &RegionDemand, user: &RegionDemand, gateways: f64) -> f64 {
    let others = gateways - servers.gateways;
    match (others > 0.0, servers.region == user.region) {
        (true, true) => 0.0,
        (true, false) => user.gateways / others,
        (false, is_own) => f64::from(u8::from(is_own)),
    }
}
