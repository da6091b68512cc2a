//! Guards against cold servers that get more requests than they tolerate.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::{net, time};

use support::{Backend, Fleet, Reply};

/// Requests that a cold server of these tests tolerates within a second.
const TOLERATED: usize = 10;

/// Time until a gateway that has just started uses its share.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(2_000);

/// Sends requests at once, far more than a cold server tolerates. Returns their statuses.
async fn call_at_once(fleet: &Fleet) -> Vec<u16> {
    let calls = (0..60).map(|n| async move { fleet.call("cold", &format!("r{n}")).await.0 });
    futures_util::future::join_all(calls).await
}

/// Checks that a cold server got some of the requests that were sent from `start` on, but no more
/// than it tolerates in each second since.
fn check_served(start: time::Instant, served: usize) {
    let seconds = 1 + start.elapsed().as_secs() as usize;
    assert!((1..=TOLERATED * seconds).contains(&served), "{served}");
}

fn count(statuses: &[u16], status: u16) -> usize {
    statuses.iter().filter(|s| **s == status).count()
}

/// Address at which nothing listens.
async fn unused_address() -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_announced_cold_server_gets_what_it_tolerates_and_the_rest_is_refused_at_once() {
    let server = Backend::start(&[]).await;
    let fleet = Fleet::start(130, &[]).await;
    fleet
        .announce_cold(server.address, 1, time::Duration::ZERO)
        .await;
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(count(&call_at_once(&fleet).await, 200), 60);
    let received = server.received().len();
    // It turns cold without another change, later than requests count.
    tokio::time::sleep(time::Duration::from_millis(1_200)).await;
    let cold = time::Duration::from_millis(1_500);
    fleet.announce_cold(server.address, 2, cold).await;
    let start = time::Instant::now();
    let statuses = call_at_once(&fleet).await;
    let served = count(&statuses, 200);
    check_served(start, served);
    assert_eq!(server.received().len() - received, served);
    assert_eq!(count(&statuses, 503), 60 - served);
    assert!(fleet.counters.value("gateway.cold_held_back") > 0);
    assert_eq!(fleet.counters.value("gateway.servers_cold"), 1);
    tokio::time::sleep(cold).await;
    assert_eq!(count(&call_at_once(&fleet).await, 200), 60);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_refused_connections_is_cold_when_it_is_back() {
    let address = unused_address().await;
    let fleet = Fleet::start(131, &[]).await;
    fleet.announce_cold(address, 1, time::Duration::ZERO).await;
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(fleet.call("cold", "r").await.0, 503);
    let server = Backend::start_at(address, &[]).await;
    let start = time::Instant::now();
    let statuses = call_at_once(&fleet).await;
    let served = count(&statuses, 200);
    check_served(start, served);
    assert_eq!(server.received().len(), served);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_starts_during_traffic_is_cold() {
    let server = Backend::start(&[]).await;
    let fleet = Fleet::start(134, &[]).await;
    // Later than servers are told to a gateway that has just started.
    tokio::time::sleep(time::Duration::from_millis(3_300)).await;
    fleet
        .announce_cold(server.address, 1, time::Duration::ZERO)
        .await;
    let start = time::Instant::now();
    check_served(start, count(&call_at_once(&fleet).await, 200));
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_of_a_restored_failure_domain_are_cold() {
    // Guards against a crowd of requests at servers that were replaced while their failure domain
    // was evacuated, and whose own announcements come later.
    let server = Backend::start(&[]).await;
    let fleet = Fleet::start(136, &[]).await;
    fleet
        .announce_cold(server.address, 1, time::Duration::ZERO)
        .await;
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.evacuate(1, "d").await;
    assert_eq!(count(&call_at_once(&fleet).await, 503), 60);
    fleet.restore(2, "d").await;
    let start = time::Instant::now();
    check_served(start, count(&call_at_once(&fleet).await, 200));
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_that_are_first_known_while_evacuated_are_cold_after_the_restoration() {
    // Guards against servers without a limit at a gateway that started during the evacuation, or
    // after one that lasted so long that the gateway had removed their warm-ups.
    let server = Backend::start(&[]).await;
    let fleet = Fleet::start(137, &[]).await;
    fleet.evacuate(1, "d").await;
    fleet
        .announce_cold(server.address, 1, time::Duration::ZERO)
        .await;
    tokio::time::sleep(SETTLE_TIME).await;
    fleet.restore(2, "d").await;
    let start = time::Instant::now();
    check_served(start, count(&call_at_once(&fleet).await, 200));
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_a_cold_server_refuses_with_421_do_not_count() {
    let refusals = vec![Reply::status(421); 2 * TOLERATED];
    let server = Backend::start(&refusals).await;
    let fleet = Fleet::start(132, &[]).await;
    let cold = time::Duration::from_secs(60);
    fleet.announce_cold(server.address, 1, cold).await;
    tokio::time::sleep(SETTLE_TIME).await;
    for n in 0..2 * TOLERATED {
        assert_eq!(fleet.call("cold", &format!("a{n}")).await.0, 503);
    }
    assert_eq!(server.received().len(), 2 * TOLERATED);
    let start = time::Instant::now();
    check_served(start, count(&call_at_once(&fleet).await, 200));
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_a_cold_server_may_not_get_go_to_another() {
    let cold = Backend::start(&[]).await;
    let warm = Backend::start(&[]).await;
    let fleet = Fleet::start(133, &[]).await;
    fleet
        .announce_cold(cold.address, 1, time::Duration::from_secs(60))
        .await;
    fleet
        .announce_cold(warm.address, 1, time::Duration::ZERO)
        .await;
    tokio::time::sleep(SETTLE_TIME).await;
    let start = time::Instant::now();
    assert_eq!(count(&call_at_once(&fleet).await, 200), 60);
    check_served(start, cold.received().len());
}
