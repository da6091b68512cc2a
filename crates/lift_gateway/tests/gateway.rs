//! A gateway between callers and backend servers of this test, over loopback.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Backend, Fleet, Reply};

const NOT_RUN: &[(&str, &str)] = &[("x-not-run", "1")];

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_is_passed_on_unchanged() {
    let backend = Backend::start(&[Reply::ok("plan")]).await;
    let fleet = Fleet::start(60, &[&backend]).await;
    let (status, body) = fleet.call("idempotent", "r1").await;
    assert_eq!((status, body.as_str()), (200, "plan"));
    let seen = backend.seen();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].workspace.as_deref(), Some("depots"));
    assert_eq!(seen[0].key, None, "the key stays here");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_another_request_is_never_passed_on() {
    // Guards against crossed answers on a kept connection.
    let crossed = Reply::ok("of another").header("x-id", "other");
    let backend = Backend::start(&[crossed]).await;
    let fleet = Fleet::start(61, &[&backend]).await;
    let (status, body) = fleet.call("non_idempotent", "r1").await;
    assert_eq!(status, 502);
    assert!(!body.contains("of another"));
    assert_eq!(
        backend.seen().len(),
        1,
        "it may have run, so it is not sent again"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_seal_is_no_success() {
    let backend = Backend::start(&[Reply::ok("x").unsealed()]).await;
    let fleet = Fleet::start(62, &[&backend]).await;
    assert_eq!(fleet.call("non_idempotent", "r1").await.0, 502);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_has_not_run_goes_to_another_server() {
    let full = Backend::start(&[Reply::status(503).headers(NOT_RUN)]).await;
    let other = Backend::start(&[Reply::status(503).headers(NOT_RUN)]).await;
    let fleet = Fleet::start(63, &[&full, &other]).await;
    let (status, _) = fleet.call("non_idempotent", "r1").await;
    assert_eq!(status, 503, "both say that it has not run");
    assert_eq!(full.seen().len() + other.seen().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_connection_is_no_proof() {
    // Guards against a double run and against a false "not run".
    let broken = Backend::start(&[Reply::Break, Reply::Break]).await;
    let other = Backend::start(&[Reply::Break, Reply::Break]).await;
    let fleet = Fleet::start(64, &[&broken, &other]).await;
    assert_eq!(fleet.call("non_idempotent", "r1").await.0, 502);
    assert_eq!(broken.seen().len() + other.seen().len(), 1);
    let (status, _) = fleet.call("idempotent", "r2").await;
    assert_eq!(status, 502, "both broke");
    assert_eq!(broken.seen().len() + other.seen().len(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_off_is_asked_for_again() {
    let backend = Backend::start(&[Reply::ok("whole").cut(), Reply::ok("whole")]).await;
    let other = Backend::start(&[Reply::ok("whole").cut(), Reply::ok("whole")]).await;
    let fleet = Fleet::start(65, &[&backend, &other]).await;
    let (status, body) = fleet.call("idempotent", "r1").await;
    // Each server gets a request once at most, so both halves may come.
    assert!(status == 502 || body == "whole", "{status} {body}");
    assert!(body != "who");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_of_the_server_is_passed_on_as_it_is() {
    let backend = Backend::start(&[Reply::status(500)]).await;
    let fleet = Fleet::start(66, &[&backend]).await;
    assert_eq!(fleet.call("non_idempotent", "r1").await.0, 500);
    // A 503 without the server's word that the request has not run would be a false promise.
    let backend = Backend::start(&[Reply::status(503)]).await;
    let fleet = Fleet::start(67, &[&backend]).await;
    assert_eq!(fleet.call("non_idempotent", "r1").await.0, 502);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_at_another_server_after_its_last_whole_event() {
    // Guards against a missing, doubled or half event.
    let first = Backend::start(&[Reply::events(1..=3).half_event().cut().after(400)]).await;
    let fleet = Fleet::start(68, &[&first]).await;
    let second = Backend::start(&[Reply::events(4..=6)]).await;
    fleet.announce(&second, 2);
    let (status, body) = fleet.call_preferring(&first, &second, "stream", "r1").await;
    assert_eq!(status, 200);
    let numbers: Vec<_> = body
        .lines()
        .filter_map(|l| l.strip_prefix("id: "))
        .collect();
    assert_eq!(numbers, ["1", "2", "3", "4", "5", "6"], "{body}");
    assert_eq!(second.seen()[0].last_event.as_deref(), Some("3"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_can_not_go_on_does_not_look_complete() {
    let backend = Backend::start(&[Reply::events(1..=2).cut()]).await;
    let fleet = Fleet::start(69, &[&backend]).await;
    assert!(fleet.try_call("stream", "r1").await.is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_keys_and_routes_are_refused() {
    let backend = Backend::start(&[]).await;
    let fleet = Fleet::start(70, &[&backend]).await;
    assert_eq!(
        fleet.call_with_key("idempotent", "r1", "stolen").await.0,
        401
    );
    assert_eq!(fleet.call("nowhere", "r2").await.0, 404);
    assert!(backend.seen().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_runs_under_a_configuration_that_is_not_confirmed() {
    // Guards against a key that was taken away while this gateway was cut off.
    let backend = Backend::start(&[]).await;
    let fleet = Fleet::start(71, &[&backend]).await;
    fleet.lead(false);
    let waiting = async {
        while fleet.call("idempotent", "r1").await.0 != 503 {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    let limit = time::Duration::from_secs(5);
    assert!(tokio::time::timeout(limit, waiting).await.is_ok());
    let before = backend.seen().len();
    assert_eq!(fleet.call("non_idempotent", "r2").await.0, 503);
    assert_eq!(backend.seen().len(), before);
    assert_eq!(fleet.ready().await, 503);
    fleet.lead(true);
    tokio::time::sleep(time::Duration::from_millis(900)).await;
    assert_eq!(fleet.call("non_idempotent", "r3").await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_leaves_gets_nothing_more() {
    let backend = Backend::start(&[]).await;
    let fleet = Fleet::start(72, &[&backend]).await;
    assert_eq!(fleet.call("idempotent", "r1").await.0, 200);
    fleet.drain(&backend, 2);
    let waiting = async {
        while fleet.call("idempotent", "r2").await.0 != 503 {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    let limit = time::Duration::from_secs(5);
    assert!(tokio::time::timeout(limit, waiting).await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_its_request_at_the_server() {
    // Guards against servers that work for nobody.
    let backend = Backend::start(&[Reply::Hang]).await;
    let fleet = Fleet::start(73, &[&backend]).await;
    let limit = time::Duration::from_millis(400);
    let left = tokio::time::timeout(limit, fleet.call("non_idempotent", "r1")).await;
    assert!(left.is_err(), "the caller leaves");
    let waiting = async {
        while backend.hanging() > 0 {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    };
    let limit = time::Duration::from_secs(2);
    assert!(tokio::time::timeout(limit, waiting).await.is_ok());
    assert_eq!(backend.seen().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_what_is_in_progress() {
    let backend = Backend::start(&[Reply::ok("late").after(800)]).await;
    let fleet = Fleet::start(74, &[&backend]).await;
    let grace = time::Duration::from_secs(6);
    let calling = fleet.call("non_idempotent", "r1");
    let stopping = async {
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        assert_eq!(fleet.ready().await, 200);
        let stopping = fleet.gateway.stop(grace);
        let asking = async {
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            fleet.ready().await
        };
        tokio::join!(stopping, asking)
    };
    let ((status, body), (is_drained, ready)) = tokio::join!(calling, stopping);
    assert_eq!((status, body.as_str()), (200, "late"));
    assert!(is_drained);
    assert_eq!(ready, 503, "the load balancer is told at once");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_is_charged_once() {
    // Guards against a failure that is judged twice: the second charge can empty the budget,
    // and then the caller gets 502 in place of the server's own failure.
    let backend = Backend::start(&[Reply::status(500)]).await;
    let other = Backend::start(&[Reply::status(500)]).await;
    let fleet = Fleet::start(75, &[&backend, &other]).await;
    assert_eq!(fleet.call("idempotent", "r1").await.0, 500);
    assert_eq!(backend.seen().len() + other.seen().len(), 2);
    assert_eq!(fleet.counters.value("repeat.failed"), 1);
}
