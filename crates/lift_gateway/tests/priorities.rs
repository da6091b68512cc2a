//! Guards against priorities that don't reach the engine, and against less urgent requests that wait
//! for places which urgent ones need.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use support::{Backend, Fleet, Reply};

/// Time of an answer that keeps a place taken, in milliseconds.
const TAKEN_MS: u64 = 700;

/// Requests that a server of these tests may have, the queue included.
const PLACES: usize = 9;

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_is_told_priorities_that_differ() {
    let server = Backend::start(&[]).await;
    let fleet = Fleet::start(125, &[&server]).await;
    fleet.call("idempotent", "r1").await;
    fleet.set_priorities().await;
    fleet.call("idempotent", "r2").await;
    fleet.call("non_idempotent", "r3").await;
    let told = server.received().into_iter().map(|got| got.priority);
    let expected = [None, Some(String::from("0")), Some(String::from("1"))];
    assert_eq!(told.collect::<Vec<_>>(), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn less_urgent_requests_are_limited_while_urgent_ones_find_no_place() {
    let replies = vec![Reply::ok("done").delayed(TAKEN_MS); PLACES];
    let server = Backend::start(&replies).await;
    let fleet = Fleet::start(126, &[&server]).await;
    fleet.set_priorities().await;
    let calls = |route, prefix: &'static str, count: usize| {
        let ids = (0..count).map(move |i| format!("{prefix}{i}"));
        futures_util::future::join_all(ids.map(|id| {
            let fleet = &fleet;
            async move { fleet.call(route, &id).await }
        }))
    };
    let competing = async {
        while server.received().len() < PLACES {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
        let urgent = calls("idempotent", "u", 10).await;
        (urgent, calls("non_idempotent", "l", 20).await)
    };
    let (taken, (urgent, less_urgent)) = tokio::join!(calls("idempotent", "t", PLACES), competing);
    assert!(taken.iter().all(|(status, _)| *status == 200), "{taken:?}");
    for (status, reason) in urgent.iter().chain(&less_urgent) {
        assert_eq!((*status, reason.trim()), (503, "full"));
    }
    assert_eq!(fleet.counters.value("admission.rank_0.full"), 10);
    assert!(fleet.counters.value("admission.rank_1.full_limited") > 0);
    assert_eq!(fleet.counters.value("admission.rank_0.full_limited"), 0);
}
