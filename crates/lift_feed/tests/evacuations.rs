//! Guards against nodes that miss an evacuation, go back to an older one, or are confirmed
//! without it.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::{sync, time};

use lift_fleet::Evacuations;
use support::{Member, Observer, client, until};

/// Longer than several questions to the leader take.
const SETTLED: time::Duration = time::Duration::from_millis(1_500);

fn evacuations(revision: u64, domains: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    let first = revision + 1 - domains.len() as u64;
    for (revision, domain) in (first..).zip(domains) {
        assert!(evacuations.evacuate(revision, String::from(*domain)));
    }
    evacuations
}

/// Sets the evacuations that a member knows, without telling its nodes.
fn set(member: &Member, evacuations: Evacuations) {
    *member.source.evacuations.lock() = evacuations;
}

fn last(observer: &Observer) -> u64 {
    observer
        .evacuations
        .lock()
        .last()
        .map_or(0, Evacuations::revision)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_takes_the_highest_revision_and_never_goes_back() {
    // Guards against a member that lags, or a late message, that withdraws an evacuation.
    let (first, second) = ([127, 0, 60, 1], [127, 0, 60, 2]);
    let (a, b) = (Member::start(first).await, Member::start(second).await);
    set(&a, evacuations(7, &["east", "west"]));
    let observer = sync::Arc::new(Observer::default());
    let _client = client(&observer, [127, 0, 60, 9], &[first, second]);
    until("the evacuations of a member", || last(&observer) == 7).await;
    set(&b, evacuations(5, &["east"]));
    b.server.push_head(lift_feed::FeedSource::head(&*b.source));
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    assert_eq!(last(&observer), 7);
    set(&b, evacuations(9, &["north"]));
    b.server.push_head(lift_feed::FeedSource::head(&*b.source));
    until("the newer ones", || last(&observer) == 9).await;
    let seen = observer.evacuations.lock().clone();
    assert_eq!(seen.len(), 2, "{seen:?}");
    assert!(!seen[1].contains("east"));
    assert_eq!(observer.counters.value("feed.evacuated_domains"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_missed_a_push_asks_again() {
    // Guards against a node that stays without an evacuation because one message was lost.
    let host = [127, 0, 61, 1];
    let member = Member::start(host).await;
    member.source.put(3);
    member.source.lead(true);
    let observer = sync::Arc::new(Observer::default());
    let _client = client(&observer, [127, 0, 61, 9], &[host]);
    until("a confirmation", || observer.confirmed.lock().is_some()).await;
    set(&member, evacuations(4, &["east"]));
    until("the evacuation", || last(&observer) == 4).await;
    assert!(observer.counters.value("feed.evacuations_missed") > 0);
    let before = *observer.confirmed.lock();
    until("a later confirmation", || {
        *observer.confirmed.lock() > before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_lacks_an_evacuation_is_not_confirmed() {
    // Guards against a gateway that serves requests for as long as control is up, although it
    // can't learn what is evacuated.
    let host = [127, 0, 62, 1];
    let member = Member::start(host).await;
    member.source.put(3);
    member.source.lead(true);
    let observer = sync::Arc::new(Observer::default());
    let _client = client(&observer, [127, 0, 62, 9], &[host]);
    until("a confirmation", || observer.confirmed.lock().is_some()).await;
    *member.source.confirmed_revision.lock() = Some(5);
    tokio::time::sleep(time::Duration::from_millis(600)).await;
    let before = *observer.confirmed.lock();
    tokio::time::sleep(SETTLED).await;
    assert_eq!(*observer.confirmed.lock(), before);
    set(&member, evacuations(5, &["east"]));
    until("a confirmation with the evacuation", || {
        *observer.confirmed.lock() > before && last(&observer) == 5
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_later_knows_an_evacuation_from_before_any_document() {
    // Guards against an evacuation that takes effect only with the next change of the document.
    let (first, second) = ([127, 0, 63, 1], [127, 0, 63, 2]);
    let (a, b) = (Member::start(first).await, Member::start(second).await);
    set(&a, evacuations(2, &["east"]));
    a.source.lead(true);
    let observer = sync::Arc::new(Observer::default());
    // The second member lags.
    let _client = client(&observer, [127, 0, 63, 9], &[first, second]);
    until("the evacuation", || last(&observer) == 2).await;
    assert!(observer.confirmed.lock().is_none());
    b.put(1);
    until("a document", || !observer.tables.lock().is_empty()).await;
    a.put(1);
    until("a confirmation", || observer.confirmed.lock().is_some()).await;
    assert_eq!(last(&observer), 2);
}
