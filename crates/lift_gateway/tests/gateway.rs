//! A gateway between test callers and test backend servers, over loopback. Guards against double
//! runs of requests, false guarantees that a request has not run, and answers that are incomplete
//! or belong to another request.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Backend, Fleet, Reply};

const NOT_RUN: &[(&str, &str)] = &[("x-not-run", "1")];

#[tokio::test(flavor = "multi_thread")]
async fn a_complete_answer_is_forwarded_unchanged() {
    let backend = Backend::start(&[Reply::ok("plan")]).await;
    let fleet = Fleet::start(60, &[&backend]).await;
    let (status, body) = fleet.call("idempotent", "r1").await;
    assert_eq!((status, body.as_str()), (200, "plan"));
    let received = backend.received();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].workspace.as_deref(), Some("depots"));
    assert_eq!(received[0].key, None, "the key is not forwarded");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_to_another_request_is_never_forwarded() {
    // Guards against mixed-up answers on a connection that is reused.
    let mixed_up = Reply::ok("of another").header("x-id", "other");
    let backend = Backend::start(&[mixed_up]).await;
    let fleet = Fleet::start(61, &[&backend]).await;
    let (status, body) = fleet.call("non_idempotent", "r1").await;
    assert_eq!(status, 502);
    assert!(!body.contains("of another"));
    assert_eq!(
        backend.received().len(),
        1,
        "it may have run, so it is not retried"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_successful_answer_without_a_seal_is_rejected() {
    let backend = Backend::start(&[Reply::ok("x").unsealed()]).await;
    let fleet = Fleet::start(62, &[&backend]).await;
    assert_eq!(fleet.call("non_idempotent", "r1").await.0, 502);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_has_not_run_is_retried_at_another_server() {
    let full = Backend::start(&[Reply::status(503).headers(NOT_RUN)]).await;
    let other = Backend::start(&[Reply::status(503).headers(NOT_RUN)]).await;
    let fleet = Fleet::start(63, &[&full, &other]).await;
    let (status, _) = fleet.call("non_idempotent", "r1").await;
    assert_eq!(status, 503, "both report that it has not run");
    assert_eq!(full.received().len() + other.received().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_connection_does_not_prove_that_a_request_has_not_run() {
    // Guards against a double run and against a false guarantee that the request has not run.
    let broken = Backend::start(&[Reply::Break, Reply::Break]).await;
    let other = Backend::start(&[Reply::Break, Reply::Break]).await;
    let fleet = Fleet::start(64, &[&broken, &other]).await;
    assert_eq!(fleet.call("non_idempotent", "r1").await.0, 502);
    assert_eq!(broken.received().len() + other.received().len(), 1);
    let (status, _) = fleet.call("idempotent", "r2").await;
    assert_eq!(status, 502, "both broke");
    assert_eq!(broken.received().len() + other.received().len(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_incomplete_answer_is_never_forwarded() {
    // Each server gets the request at most once, so both answers are incomplete.
    let backend = Backend::start(&[Reply::ok("whole").truncated()]).await;
    let other = Backend::start(&[Reply::ok("whole").truncated()]).await;
    let fleet = Fleet::start(65, &[&backend, &other]).await;
    assert_eq!(fleet.call("idempotent", "r1").await.0, 502);
    assert_eq!(backend.received().len() + other.received().len(), 2);
    // The next one gets a complete answer.
    let (status, body) = fleet.call("idempotent", "r2").await;
    assert_eq!((status, body.as_str()), (200, "done"));
    let truncated = Backend::start(&[Reply::ok("whole").truncated()]).await;
    let fleet = Fleet::start(101, &[&truncated]).await;
    assert_eq!(fleet.call("non_idempotent", "r3").await.0, 502);
    assert_eq!(truncated.received().len(), 1, "it may have run");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_error_is_forwarded_unless_it_implies_not_run() {
    let backend = Backend::start(&[Reply::status(500)]).await;
    let fleet = Fleet::start(66, &[&backend]).await;
    assert_eq!(fleet.call("non_idempotent", "r1").await.0, 500);
    // A 503 would falsely guarantee that the request has not run, since the server has not
    // reported that.
    let backend = Backend::start(&[Reply::status(503)]).await;
    let fleet = Fleet::start(67, &[&backend]).await;
    assert_eq!(fleet.call("non_idempotent", "r1").await.0, 502);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_at_another_server_after_the_last_complete_event() {
    // Guards against missing, repeated and incomplete events.
    let first = Backend::start(&[Reply::events(1..=3)
        .partial_event()
        .truncated()
        .delayed(400)])
    .await;
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
    assert_eq!(second.received()[0].last_event.as_deref(), Some("3"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_can_not_resume_does_not_look_complete() {
    let backend = Backend::start(&[Reply::events(1..=2).truncated()]).await;
    let fleet = Fleet::start(69, &[&backend]).await;
    assert!(fleet.try_call("stream", "r1").await.is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_keys_and_routes_are_rejected() {
    let backend = Backend::start(&[]).await;
    let fleet = Fleet::start(70, &[&backend]).await;
    assert_eq!(
        fleet.call_with_key("idempotent", "r1", "stolen").await.0,
        401
    );
    assert_eq!(fleet.call("nowhere", "r2").await.0, 404);
    assert!(backend.received().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_rejected_while_the_configuration_is_not_confirmed() {
    // Guards against accepting a key that was revoked while this gateway was disconnected from the
    // control members.
    let backend = Backend::start(&[]).await;
    let fleet = Fleet::start(71, &[&backend]).await;
    fleet.set_leader(false);
    let waiting = async {
        while fleet.call("idempotent", "r1").await.0 != 503 {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    let limit = time::Duration::from_secs(5);
    assert!(tokio::time::timeout(limit, waiting).await.is_ok());
    let before = backend.received().len();
    assert_eq!(fleet.call("non_idempotent", "r2").await.0, 503);
    assert_eq!(backend.received().len(), before);
    assert_eq!(fleet.ready().await, 503);
    fleet.set_leader(true);
    tokio::time::sleep(time::Duration::from_millis(900)).await;
    assert_eq!(fleet.call("non_idempotent", "r3").await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_route_is_not_denied_while_the_configuration_may_be_out_of_date() {
    // Guards against denying a route or key that was added while this gateway was disconnected
    // from the control members: the caller would not come back.
    let backend = Backend::start(&[]).await;
    let fleet = Fleet::start(83, &[&backend]).await;
    assert_eq!(fleet.call("nowhere", "r1").await.0, 404);
    fleet.set_leader(false);
    tokio::time::sleep(time::Duration::from_millis(900)).await;
    assert_eq!(fleet.call("nowhere", "r2").await.0, 503);
    assert_eq!(fleet.call_with_key("idempotent", "r3", "new").await.0, 503);
    assert_eq!(fleet.call("idempotent", "r4").await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_server_gets_no_more_requests() {
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
async fn a_request_is_cancelled_at_the_server_if_its_caller_disconnects() {
    // Guards against servers that run requests whose callers have disconnected.
    let backend = Backend::start(&[Reply::Hang]).await;
    let fleet = Fleet::start(73, &[&backend]).await;
    let limit = time::Duration::from_millis(400);
    let called = tokio::time::timeout(limit, fleet.call("non_idempotent", "r1")).await;
    assert!(called.is_err(), "the caller disconnects");
    let waiting = async {
        while backend.hanging() > 0 {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    };
    let limit = time::Duration::from_secs(2);
    assert!(tokio::time::timeout(limit, waiting).await.is_ok());
    assert_eq!(backend.received().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_finishes_requests_in_progress() {
    let backend = Backend::start(&[Reply::ok("late").delayed(800)]).await;
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
    assert_eq!(ready, 503, "the readiness check fails at once");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_is_charged_once() {
    // Guards against deciding twice on a retry after one failure: the second charge can empty the
    // budget, and then the caller gets 502 instead of the server's own error.
    let backend = Backend::start(&[Reply::status(500)]).await;
    let other = Backend::start(&[Reply::status(500)]).await;
    let fleet = Fleet::start(75, &[&backend, &other]).await;
    assert_eq!(fleet.call("idempotent", "r1").await.0, 500);
    assert_eq!(backend.received().len() + other.received().len(), 2);
    assert_eq!(fleet.counters.value("repeat.failed"), 1);
}
