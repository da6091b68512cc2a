//! Guards against an assignment that moves groups of live hosts after the loss of another host,
//! leaves a group without a home host, sends a chunk into a region twice because a group has two
//! home hosts there, or reads a group from the origin in several regions, and against neighbours
//! beyond the limit or in another region.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use lift_transfer::{HomeTable, MAX_NEIGHBOURS, SwarmPeer, Upstream};
use lift_types::{CHUNK_KEY_GROUPS, HostId, KeyGroup, Location, TransferGoal};
use proptest::prelude::*;

/// Region, key group, home host, and the host that it reads from (`None` for the origin).
type Home = (String, KeyGroup, HostId, Option<HostId>);

fn peers(count: u32, regions: u32) -> Vec<SwarmPeer> {
    let peer = |host: u32| SwarmPeer {
        location: Location {
            region: format!("region-{}", host % regions),
            failure_domain: String::from("a"),
            host,
        },
        incarnation: 1,
        chunk_addr: "127.0.0.1:1".parse().unwrap(),
    };
    (0..count).map(peer).collect()
}

fn homes(peers: &[SwarmPeer], goal: TransferGoal) -> Vec<Home> {
    let table = HomeTable::new(peers.to_vec(), goal);
    let mut all = Vec::new();
    for peer in peers {
        for home in table.view(&peer.location).home_groups {
            let upstream = match home.upstream {
                Upstream::Origin => None,
                Upstream::Peer(peer) => Some(peer.location.host),
            };
            let region = peer.location.region.clone();
            all.push((region, home.group, peer.location.host, upstream));
        }
    }
    all.sort();
    all
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn each_group_has_one_home_in_each_region_and_one_reads_the_origin(
        hosts in 1_u32..60,
        regions in 1_u32..5,
        lost in any::<prop::sample::Index>(),
    ) {
        let regions = regions.min(hosts);
        let all = peers(hosts, regions);
        let before = homes(&all, TransferGoal::Origin);
        prop_assert_eq!(before.len(), usize::from(CHUNK_KEY_GROUPS) * regions as usize);
        for group in 0..CHUNK_KEY_GROUPS {
            let of_group: Vec<_> = before.iter().filter(|home| home.1 == group).collect();
            let readers: Vec<_> = of_group.iter().filter(|home| home.3.is_none()).collect();
            prop_assert_eq!(readers.len(), 1);
            let reader = readers[0].2;
            let mut others = of_group.iter().filter_map(|home| home.3);
            prop_assert!(others.all(|upstream| upstream == reader));
        }
        let lost = all[lost.index(all.len())].clone();
        let left: Vec<_> = all.iter().filter(|peer| **peer != lost).cloned().collect();
        if left.iter().any(|peer| peer.location.region == lost.location.region) {
            let after = homes(&left, TransferGoal::Origin);
            for (before, after) in before.iter().zip(&after) {
                prop_assert!(before.2 == lost.location.host || before.2 == after.2);
            }
        }
        let table = HomeTable::new(all.clone(), TransferGoal::Time);
        for peer in &all {
            let neighbours = table.view(&peer.location).neighbours;
            prop_assert!(neighbours.len() <= MAX_NEIGHBOURS);
            prop_assert!(neighbours.iter().all(|n| n.location.region == peer.location.region));
        }
    }
}
