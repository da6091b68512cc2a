//! Assignment of key groups to home hosts.

use xxhash_rust::xxh3;

use crate::{home_group, swarm_peer, swarm_view, upstream};

/// Maximum number of neighbours of one agent in its region. A random graph of this degree
/// stays connected with high probability, and connections are used in both directions.
pub const MAX_NEIGHBOURS: usize = 8;

/// Hash seed for neighbours, distinct from the hashes for home hosts.
const NEIGHBOUR_SEED: u64 = 1;

/// Hash seed for home regions, distinct from the hash for home hosts.
const REGION_SEED: u64 = 2;

/// Home host of each key group in each region, by rendezvous hashing over live agents.
///
/// It is computed once for a set of agents and then serves any number of requests. When an
/// agent is added or removed, only the groups of that agent move. The alternatives are
/// compared in `docs/decisions/chunk-exchange.md`.
#[derive(Clone, Debug)]
pub struct HomeTable {
    peers: Vec<swarm_peer::SwarmPeer>,
    /// For each region, the indices of its agents in `peers`.
    regions: indexmap::IndexMap<lift_types::RegionId, Vec<usize>>,
    /// For each region, the index in `peers` of the home host of each group.
    homes: indexmap::IndexMap<lift_types::RegionId, Vec<usize>>,
    /// For each group, the index of its home region in `regions`.
    home_regions: Vec<usize>,
    goal: lift_types::TransferGoal,
}

impl HomeTable {
    /// Computes the table for the live agents `peers`.
    pub fn new(peers: Vec<swarm_peer::SwarmPeer>, goal: lift_types::TransferGoal) -> Self {
        let mut regions = indexmap::IndexMap::<_, Vec<usize>>::new();
        for (i, peer) in peers.iter().enumerate() {
            regions
                .entry(peer.location.region.clone())
                .or_default()
                .push(i);
        }
        regions.sort_keys();
        let homes = regions
            .iter()
            .map(|(region, members)| (region.clone(), home_hosts(&peers, members)))
            .collect();
        let home_regions = (0..lift_types::CHUNK_KEY_GROUPS)
            .map(|group| home_region(group, regions.keys()))
            .collect();
        Self {
            peers,
            homes,
            home_regions,
            goal,
            regions,
        }
    }

    /// Returns the view of the agent at `location`. An agent that the table does not list yet gets
    /// neighbours but no home groups.
    pub fn view(&self, location: &lift_types::Location) -> swarm_view::SwarmView {
        swarm_view::SwarmView {
            goal: self.goal,
            neighbours: self.neighbours(location),
            home_groups: self.home_groups(location),
        }
    }

    fn neighbours(&self, location: &lift_types::Location) -> Vec<swarm_peer::SwarmPeer> {
        let Some(members) = self.regions.get(&location.region) else {
            return Vec::new();
        };
        let mut ranked: Vec<(u64, usize)> = members
            .iter()
            .filter(|i| self.peers[**i].location.host != location.host)
            .map(|i| (pair_weight(location.host, self.peers[*i].location.host), *i))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked
            .into_iter()
            .take(MAX_NEIGHBOURS)
            .map(|(_, i)| self.peers[i].clone())
            .collect()
    }

    fn home_groups(&self, location: &lift_types::Location) -> Vec<home_group::HomeGroup> {
        let Some((region, _, homes)) = self.homes.get_full(&location.region) else {
            return Vec::new();
        };
        (0..lift_types::CHUNK_KEY_GROUPS)
            .filter(|group| self.peers[homes[usize::from(*group)]].location.host == location.host)
            .map(|group| home_group::HomeGroup {
                group,
                upstream: self.upstream(region, group),
            })
            .collect()
    }

    fn upstream(&self, region: usize, group: lift_types::KeyGroup) -> upstream::Upstream {
        let first = self.home_regions[usize::from(group)];
        // Under either goal only one region reads a group from the origin. A second reader would
        // use the origin link for a copy that a region link delivers sooner; see
        // `docs/burst.md`.
        if region == first {
            return upstream::Upstream::Origin;
        }
        let home = self.homes[first][usize::from(group)];
        upstream::Upstream::Peer(self.peers[home].clone())
    }
}

fn home_hosts(peers: &[swarm_peer::SwarmPeer], members: &[usize]) -> Vec<usize> {
    (0..lift_types::CHUNK_KEY_GROUPS)
        .map(|group| {
            let best = members
                .iter()
                .max_by_key(|i| host_weight(group, peers[**i].location.host));
            best.copied().unwrap_or_default()
        })
        .collect()
}

fn home_region<'a>(
    group: lift_types::KeyGroup,
    regions: impl Iterator<Item = &'a lift_types::RegionId>,
) -> usize {
    let best = regions
        .enumerate()
        .max_by_key(|(_, region)| region_weight(group, region));
    best.map_or(0, |(i, _)| i)
}

fn host_weight(group: lift_types::KeyGroup, host: lift_types::HostId) -> u64 {
    let mut buf = [0; 6];
    buf[..2].copy_from_slice(&group.to_le_bytes());
    buf[2..].copy_from_slice(&host.to_le_bytes());
    xxh3::xxh3_64(&buf)
}

fn region_weight(group: lift_types::KeyGroup, region: &str) -> u64 {
    xxh3::xxh3_64_with_seed(region.as_bytes(), REGION_SEED + (u64::from(group) << 8))
}

/// Returns the weight of a pair of hosts. It is symmetric, so that most neighbours choose
/// each other and share one connection.
fn pair_weight(a: lift_types::HostId, b: lift_types::HostId) -> u64 {
    let mut buf = [0; 8];
    buf[..4].copy_from_slice(&a.min(b).to_le_bytes());
    buf[4..].copy_from_slice(&a.max(b).to_le_bytes());
    xxh3::xxh3_64_with_seed(&buf, NEIGHBOUR_SEED)
}
