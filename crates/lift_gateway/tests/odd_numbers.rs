//! Numbers of operators and backend servers that are too large to add to a time.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Backend, Fleet, Reply};

#[tokio::test(flavor = "multi_thread")]
async fn a_keep_alive_time_that_is_too_large_costs_no_answer() {
    // Guards against a sum of times that overflows and ends the connection of a caller.
    let odd = Reply::ok("word").header("x-keep-s", "18446744073709551615");
    let backend = Backend::start(&[odd]).await;
    let fleet = Fleet::start(98, &[&backend]).await;
    let first = fleet.try_call("non_idempotent", "r1").await;
    assert_eq!(first, Ok((200, String::from("word"))));
    assert_eq!(fleet.call("non_idempotent", "r2").await.1, "done");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_route_whose_times_are_too_large_is_served() {
    // Guards against a configuration that ends each request of a route.
    let backend = Backend::start(&[Reply::events(1..=2)]).await;
    let fleet = Fleet::start(99, &[&backend]).await;
    let answer = fleet.try_call("endless_times", "r1").await;
    assert!(
        answer.as_ref().is_ok_and(|(status, _)| *status == 200),
        "{answer:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_load_report_with_too_many_requests_does_not_end_the_reports() {
    // Guards against a gateway that follows no report any more after an odd one.
    let backend = Backend::start(&[]).await;
    let fleet = Fleet::start(123, &[&backend]).await;
    let mut report = lift_feed::LoadReport {
        backend: backend.address,
        running: u32::MAX,
        waiting: u32::MAX,
        unread: u32::MAX,
        models: Vec::new(),
        link_percent: Some(u32::MAX),
        is_loading: false,
        random: f64::NAN,
    };
    fleet.report(&report).await;
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    assert_eq!(fleet.call("non_idempotent", "r1").await.0, 503);
    report.running = 0;
    report.waiting = 0;
    report.unread = 0;
    report.random = 0.0;
    fleet.report(&report).await;
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    assert_eq!(fleet.call("non_idempotent", "r2").await.0, 200);
}
