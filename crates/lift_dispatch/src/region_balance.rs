//! Division of the backend servers of a service between regions.

use crate::region_capacity;

/// Part of each server's free places that is divided as if all regions had what they need, so that
/// a region with a burst finds some elsewhere.
const COMMON_SHARE: f64 = 0.2;

/// Which part of the free places of each region's servers the gateways of each region may use.
///
/// Load: a region whose own servers are too few, because they were evacuated, lost, or are fewer
/// than its callers need. Its gateways get the places that the other regions have beyond their own
/// need. The division follows from the lists of servers and gateways, which all gateways know, so
/// they agree without a message, and it changes only with those lists, so it does not oscillate
/// with the load. See `docs/design/leaving-regions.md`.
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
        let needs: Vec<RegionNeed> = regions
            .iter()
            .map(|r| RegionNeed::new(r, slots, gateways))
            .collect();
        let lacking: f64 = needs.iter().map(RegionNeed::lack).sum();
        let share_of = |servers: &RegionNeed, user: &RegionNeed| {
            (1.0 - COMMON_SHARE) * needed_share(servers, user, lacking)
                + COMMON_SHARE * common_share(servers, user, gateways)
        };
        let with_servers = needs.iter().filter(|need| need.has > 0.0);
        let shares = with_servers.map(|servers| {
            let users = needs.iter();
            let shares = users.map(|user| (user.region.clone(), share_of(servers, user)));
            (servers.region.clone(), shares.collect())
        });
        Self {
            shares: shares.collect(),
        }
    }

    /// Section of the free places of servers in `server_region` that the gateways of
    /// `gateway_region` may use: its start and its end, both from 0 to 1. Each section starts exactly
    /// where the one before it ends. `None` for a region that is not known.
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

/// What a region has and needs, as parts of the servers of all regions.
#[derive(Debug)]
struct RegionNeed {
    region: lift_types::RegionId,
    gateways: f64,
    has: f64,
    needs: f64,
}

impl RegionNeed {
    fn new(region: &region_capacity::RegionCapacity, slots: f64, gateways: f64) -> Self {
        Self {
            region: region.region.clone(),
            gateways: region.gateways,
            has: region.slots / slots,
            needs: region.gateways / gateways,
        }
    }

    /// What it lacks.
    fn lack(&self) -> f64 {
        (self.needs - self.has).max(0.0)
    }

    /// What it has beyond its need.
    fn surplus(&self) -> f64 {
        (self.has - self.needs).max(0.0)
    }
}

/// Part of the servers of a region that `user` needs: its own ones as far as it needs them, and of
/// the others' surplus as much as it lacks in comparison with other regions.
fn needed_share(servers: &RegionNeed, user: &RegionNeed, lacking: f64) -> f64 {
    if servers.region == user.region {
        return servers.needs.min(servers.has) / servers.has;
    }
    if lacking <= 0.0 {
        return 0.0;
    }
    servers.surplus() / servers.has * user.lack() / lacking
}

/// Part of the servers of a region that is left to gateways of other regions, in proportion to
/// their number. Without any, the gateways of the region have all.
fn common_share(servers: &RegionNeed, user: &RegionNeed, gateways: f64) -> f64 {
    let others = gateways - servers.gateways;
    match (others > 0.0, servers.region == user.region) {
        (true, true) => 0.0,
        (true, false) => user.gateways / others,
        (false, is_own) => f64::from(u8::from(is_own)),
    }
}
