//! Division of free places between gateways.

use crate::region_balance;

/// Share of a backend server's free places for the gateways of its own region, if there are
/// gateways elsewhere. The rest lets a region whose servers are full or lost use those of others.
const OWN_REGION_SHARE: f64 = 0.8;

/// The part of each server's free places that one gateway may use.
///
/// All gateways get the same load report. If each of them used a free place that it shows, the
/// server would be overrun at each report while load is high. The gateways of a region therefore
/// take turns: each report carries a random number, and from it and their positions all of them
/// know whose turn it is. A place that is left unused is in the next report, for the next ones.
/// See `docs/platform.md`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GatewayShares {
    own_region: lift_types::RegionId,
    regions: indexmap::IndexMap<lift_types::RegionId, RegionGateways>,
}

/// Gateways of one region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RegionGateways {
    count: u32,
    /// Number of them that come before this gateway in the order of hosts.
    before: u32,
}

impl GatewayShares {
    /// Divides between the `gateways`, of which `own` is this one. It is added if it is missing.
    pub fn new(own: &lift_types::Location, gateways: &[lift_types::Location]) -> Self {
        let mut regions = indexmap::IndexMap::<_, RegionGateways>::new();
        let others = gateways.iter().filter(|other| other.host != own.host);
        for other in others.chain(std::iter::once(own)) {
            let region = regions.entry(other.region.clone()).or_default();
            region.count += 1;
            region.before += u32::from(other.host < own.host);
        }
        Self {
            own_region: own.region.clone(),
            regions,
        }
    }

    /// Number of all gateways, at least 1.
    pub fn total(&self) -> u32 {
        self.all().count.max(1)
    }

    /// Number of gateways in each region.
    pub fn region_counts(&self) -> impl Iterator<Item = (&lift_types::RegionId, u32)> {
        self.regions
            .iter()
            .map(|(region, gateways)| (region, gateways.count))
    }

    /// Requests that this gateway may send to a server with `free` places in `server_region` on
    /// one load report. `random` is the random number of the report, from 0 up to 1. With a
    /// `balance` between regions each of them has the section of the places that it needs. All
    /// gateways share a server in an unknown region alike.
    pub fn places(
        &self,
        server_region: Option<&str>,
        balance: Option<&region_balance::RegionBalance>,
        free: f64,
        random: f64,
    ) -> u32 {
        let section = balance
            .zip(server_region)
            .and_then(|(balance, region)| balance.section(region, &self.own_region));
        let own = self.regions.get(&self.own_region).copied();
        let (group, start, end) = match section {
            Some((start, end)) => (own.unwrap_or_default(), start, end),
            None => self.default_section(server_region),
        };
        let count = group.count.max(1);
        let boundary = |before: u32| match before < count {
            true => start + (end - start) * f64::from(before) / f64::from(count),
            false => end,
        };
        let (first, last) = (boundary(group.before), boundary(group.before + 1));
        places_before(last, free, random) - places_before(first, free, random)
    }

    /// The gateways with which this one shares a section of the places of servers in
    /// `server_region`, and the start and the end of the section.
    fn default_section(&self, server_region: Option<&str>) -> (RegionGateways, f64, f64) {
        let all = self.all();
        let near = server_region.and_then(|region| self.regions.get(region));
        let near = near.copied().unwrap_or_default();
        let far = RegionGateways {
            count: all.count.saturating_sub(near.count),
            before: all.before.saturating_sub(near.before),
        };
        let near_share = match (near.count, far.count) {
            (0, _) => 0.0,
            (_, 0) => 1.0,
            _ => OWN_REGION_SHARE,
        };
        match server_region == Some(self.own_region.as_str()) {
            true => (near, 0.0, near_share),
            false => (far, near_share, 1.0),
        }
    }

    fn all(&self) -> RegionGateways {
        let add = |sum: RegionGateways, region: &RegionGateways| RegionGateways {
            count: sum.count + region.count,
            before: sum.before + region.before,
        };
        self.regions.values().fold(RegionGateways::default(), add)
    }
}

/// Number of places before `end`, if `free` places lie evenly between 0 and 1, the first of them
/// `random` times their distance after 0. Each gateway has a section of its own, so that the
/// places of all gateways add up to the free ones.
fn places_before(end: f64, free: f64, random: f64) -> u32 {
    (free * end - random).ceil().max(0.0) as u32
}
