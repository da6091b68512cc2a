//! Chunks whose home host is slow: who reads them then, without a network.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{net, sync, time};

use lift_transfer::{
    Download, DownloadConfig, DownloadEvent, HomeTable, LateReaders, SwarmPeer, Upstream,
};

const MS: time::Duration = time::Duration::from_millis(1);

fn location(host: u32) -> lift_types::Location {
    lift_types::Location {
        region: format!("r{}", host % 3),
        failure_domain: String::from("d"),
        host,
    }
}

fn agents(count: u32) -> Vec<SwarmPeer> {
    let agent = |host| SwarmPeer {
        location: location(host),
        incarnation: 1,
        chunk_addr: net::SocketAddr::from(([10, 0, 0, 1], 1)),
    };
    (0..count).map(agent).collect()
}

fn table(agents: &[SwarmPeer], late: &LateReaders) -> HomeTable {
    let sound = agents.iter().filter(|a| !late.contains(a.location.host));
    HomeTable::new(sound.cloned().collect(), lift_types::TransferGoal::Origin)
}

/// The host that reads `group` from the origin, as each agent works it out.
fn origin_reader(table: &HomeTable, agents: &[SwarmPeer], group: u16) -> u32 {
    let reads = |agent: &&SwarmPeer| {
        let view = table.view(&agent.location);
        let mut groups = view.home_groups.iter();
        groups.any(|g| g.group == group && g.upstream == Upstream::Origin)
    };
    agents.iter().find(reads).unwrap().location.host
}

#[test]
fn all_agents_choose_the_same_new_reader_of_a_late_chunk() {
    // Guards against a version that is held up for seconds by the few chunks whose home hosts are
    // behind congested links.
    let (agents, now) = (agents(30), time::Instant::now());
    let before = table(&agents, &LateReaders::default());
    let slow = origin_reader(&before, &agents, 7);
    let mut readers = indexmap::IndexSet::new();
    for region in ["r0", "r1", "r2"] {
        let mut late = LateReaders::default();
        assert!(late.replace(now, &[7], &before, region, agents.len()));
        assert!(late.contains(slow));
        let after = table(&agents, &late);
        readers.insert(origin_reader(&after, &agents, 7));
        // The new reader gets its time.
        assert!(!late.replace(now + 500 * MS, &[7], &after, region, agents.len()));
        assert!(late.replace(now + 1_100 * MS, &[7], &after, region, agents.len()));
    }
    assert_eq!(readers.len(), 1, "{readers:?}");
    assert!(!readers.contains(&slow));
}

#[test]
fn a_slow_origin_does_not_replace_everyone() {
    // Guards against more and more readers at an origin that is slow itself.
    let (agents, mut now) = (agents(40), time::Instant::now());
    let groups: Vec<_> = (0..96).collect();
    let mut late = LateReaders::default();
    for _ in 0..20 {
        let table = table(&agents, &late);
        late.replace(now, &groups, &table, "r1", agents.len());
        now += 1_100 * MS;
    }
    let replaced = agents.iter().filter(|a| late.contains(a.location.host));
    assert_eq!(replaced.count(), 10);
}

#[test]
fn a_chunk_is_late_once_it_could_have_been_read_and_no_neighbour_has_it() {
    let manifest = lift_types::Manifest::of(String::from("v2"), &[7; 10_000], 1_000);
    let manifest = sync::Arc::new(manifest);
    // One chunk in 100 ms.
    let cfg = DownloadConfig::default().origin_rate(10_000);
    let mut download = Download::new(&location(0), manifest, cfg);
    let (now, rng) = (time::Instant::now(), &mut rand::rng());
    let agents = agents(30);
    let view = table(&agents, &LateReaders::default()).view(&location(0));
    download.step(now, DownloadEvent::View(view), rng);
    assert_eq!(download.late_groups(now + 1_400 * MS), []);
    let late = download.late_groups(now + 2_100 * MS);
    assert_eq!(
        late,
        [0, 1, 2, 3, 4],
        "the others may still be read in time"
    );
    download.step(now, DownloadEvent::Held { chunk: 1 }, rng);
    let neighbour = location(3);
    let host = neighbour.host;
    download.step(
        now,
        DownloadEvent::PeerUp {
            location: neighbour,
        },
        rng,
    );
    let chunks = vec![3];
    download.step(now, DownloadEvent::Have { host, chunks }, rng);
    assert_eq!(download.late_groups(now + 2_100 * MS), [0, 2, 4]);
}
