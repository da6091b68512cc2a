//! Sightings of gateways on their way through control members, over loopback.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::{net, sync, time};

use lift_feed::{MemberMessage, NodeKind, NodeMessage};
use support::{Member, Observer, card, client, client_of, keys, ports, until};

/// Age at which the sightings of these tests are reported.
const AGE: time::Duration = time::Duration::from_secs(7);

fn crash(id: u64, part: &str) -> lift_fleet::PartSighting {
    lift_fleet::PartSighting {
        id,
        age: AGE,
        observation: lift_fleet::PartObservation::Crash {
            backend: String::from("b"),
            parts: vec![String::from(part)],
        },
    }
}

fn observer() -> sync::Arc<Observer> {
    sync::Arc::default()
}

/// Waits until `observer` has the sighting `id`.
async fn until_seen(what: &str, observer: &Observer, id: u64) {
    let is_seen = || observer.sightings.lock().iter().any(|s| s.id == id);
    until(what, is_seen).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_that_one_gateway_saw_reaches_the_others_once() {
    // Guards against crashes that are too few at each gateway, and against one crash that counts
    // once for each member that passes it on.
    let hosts = [[127, 0, 45, 1], [127, 0, 45, 2]];
    let members = [Member::start(hosts[0]).await, Member::start(hosts[1]).await];
    let (near, far, agent, control) = (observer(), observer(), observer(), observer());
    let reporter = client(&near, [127, 0, 45, 7], &hosts);
    let _others = [
        client(&far, [127, 0, 45, 8], &hosts),
        client_of(NodeKind::Agent, &agent, [127, 0, 45, 9], &hosts),
        client_of(NodeKind::Control, &control, [127, 0, 45, 10], &hosts),
    ];
    until("all are connected", || {
        near.nodes.lock().len() == 3 && agent.nodes.lock().len() == 3
    })
    .await;
    let began = time::Instant::now();
    reporter.report_part_sightings(vec![crash(1, "p"), crash(2, "q"), crash(1, "p")]);
    until_seen("the sighting at another gateway", &far, 2).await;
    assert!(
        began.elapsed() < time::Duration::from_secs(1),
        "shared late"
    );
    let copies = |o: &Observer| o.counters.value("feed.sighting.copy");
    until("the copies of the second member", || {
        copies(&far) == 2 && copies(&near) == 5
    })
    .await;
    let seen = far.sightings.lock().clone();
    assert_eq!(seen.len(), 2, "{seen:?}");
    assert!(seen.iter().all(|s| s.age >= AGE && s.age < 2 * AGE));
    assert_eq!(*near.sightings.lock(), [], "its own");
    // Agents and members share the links with requests and have no use for sightings.
    for other in [&agent, &control] {
        assert_eq!(
            copies(other) + other.counters.value("feed.sighting.news"),
            0
        );
    }
    for member in &members {
        assert_eq!(member.counters.value("feed.sighting.news"), 2);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn sightings_do_not_wait_for_other_messages() {
    // Guards against sightings that are sent only when something else wakes the connection, such
    // as a question, of which there is one in 400 ms.
    let host = [127, 0, 49, 1];
    let _member = Member::start(host).await;
    let far = observer();
    let reporter = client(&observer(), [127, 0, 49, 8], &[host]);
    let _client = client(&far, [127, 0, 49, 9], &[host]);
    until("both are connected", || far.nodes.lock().len() == 2).await;
    let began = time::Instant::now();
    for id in 1..=5 {
        reporter.report_part_sightings(vec![crash(id, "p")]);
        until_seen("the sighting", &far, id).await;
    }
    assert!(
        began.elapsed() < time::Duration::from_secs(1),
        "they waited"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_starts_later_gets_what_is_known() {
    // Guards against a gateway that restarts and lets the same part crash more servers.
    let host = [127, 0, 46, 1];
    let member = Member::start(host).await;
    let reporter = client(&observer(), [127, 0, 46, 8], &[host]);
    // More than one message holds.
    reporter.report_part_sightings((1..=100).map(|id| crash(id, "p")).collect());
    let news = || member.counters.value("feed.sighting.news");
    until("the member has them", || news() == 100).await;
    drop(reporter);
    let late = observer();
    let _client = client(&late, [127, 0, 46, 9], &[host]);
    until_seen("the last sighting", &late, 100).await;
    assert_eq!(late.sightings.lock().len(), 100);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_that_restarted_gets_sightings_back_from_any_gateway() {
    // Guards against sightings that are lost with the memory of control, also where the gateway
    // that reported them is gone.
    let host = [127, 0, 47, 1];
    let member = Member::start(host).await;
    let listener = observer();
    let reporter = client(&observer(), [127, 0, 47, 7], &[host]);
    let _listening = client(&listener, [127, 0, 47, 8], &[host]);
    reporter.report_part_sightings(vec![crash(1, "p")]);
    until_seen("the sighting", &listener, 1).await;
    drop(reporter);
    member.stop.cancel();
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    let _member = Member::start(host).await;
    let late = observer();
    let _late = client(&late, [127, 0, 47, 9], &[host]);
    until_seen("the sighting after the restart", &late, 1).await;
    assert_eq!(listener.sightings.lock().len(), 1, "known there");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_sighting_over_its_bounds_ends_no_connection() {
    // Guards against a faulty gateway that fills the memory of control, or loses the feed over it.
    let host = [127, 0, 48, 1];
    let member = Member::start(host).await;
    let address = ports().feed(net::IpAddr::from(host));
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let connected = lift_wire::connect(stream, &keys(), lift_wire::Purpose::Feed).await;
    let (mut reader, mut writer) = connected.unwrap();
    let hello = NodeMessage::Subscribe(card(net::Ipv4Addr::new(127, 0, 48, 9)));
    writer.send(&hello).await.unwrap();
    let sightings = vec![crash(1, &"p".repeat(1_000_000)), crash(2, "p")];
    let report = NodeMessage::PartSightings(sightings);
    writer.send(&report).await.unwrap();
    writer.send(&NodeMessage::Ask { nonce: 9 }).await.unwrap();
    let answered = async {
        while reader.recv::<MemberMessage>().await.unwrap() != (MemberMessage::Heard { nonce: 9 }) {
        }
    };
    tokio::time::timeout(support::PATIENCE, answered)
        .await
        .expect("the connection lives");
    assert_eq!(member.counters.value("feed.sighting.over_bounds"), 1);
    assert_eq!(member.counters.value("feed.sighting.news"), 1);
}
