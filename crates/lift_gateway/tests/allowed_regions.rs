//! Guards against requests that run in a region that a configuration has taken away meanwhile.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Backend, Fleet, Reply};

/// Time until the first server fails, in milliseconds. The configuration changes meanwhile.
const FAILS_AFTER_MS: u64 = 400;

/// Calls two servers, the first of which gives `reply` and is preferred.
async fn call_during_a_restriction(
    subnet: u8,
    route: &str,
    reply: Reply,
) -> (Result<u16, String>, usize) {
    let first = Backend::start(&[reply]).await;
    let second = Backend::start(&[]).await;
    let fleet = Fleet::start(subnet, &[&first, &second]).await;
    let calling = fleet.prefer(&first, &second, fleet.try_call(route, "r1"));
    let restricting = async {
        while first.received().is_empty() {
            tokio::time::sleep(time::Duration::from_millis(1)).await;
        }
        fleet.restrict_regions().await;
    };
    let (answer, ()) = tokio::join!(calling, restricting);
    (answer.map(|(status, _)| status), second.received().len())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_does_not_run_in_a_region_that_was_taken_away() {
    let failing = Reply::status(500).delayed(FAILS_AFTER_MS);
    let (answer, retries) = call_during_a_restriction(120, "idempotent", failing).await;
    assert_ne!(answer, Ok(200));
    assert_eq!(retries, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_does_not_go_on_in_a_region_that_was_taken_away() {
    let breaking = Reply::events(1..=3).truncated().delayed(FAILS_AFTER_MS);
    let (answer, retries) = call_during_a_restriction(121, "stream", breaking).await;
    assert!(answer.is_err(), "{answer:?}");
    assert_eq!(retries, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_no_server_may_run_is_refused_at_once() {
    let server = Backend::start(&[]).await;
    let fleet = Fleet::start(122, &[&server]).await;
    fleet.restrict_regions().await;
    let (status, reason) = fleet.call("non_idempotent", "r1").await;
    assert_eq!((status, reason.trim()), (503, "no_allowed_region"));
    assert_eq!(server.received().len(), 0);
}
