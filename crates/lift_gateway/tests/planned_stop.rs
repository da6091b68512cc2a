//! Requests that arrive while a gateway stops. Each one whose connection was accepted must be
//! answered.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Backend, Fleet, Reply};

/// Callers that connect again and again while the gateway stops.
const CALLERS: usize = 24;

#[tokio::test(flavor = "multi_thread")]
async fn requests_on_accepted_connections_are_answered_during_a_stop() {
    // Guards against a listener that is closed with connections in its backlog, and against a
    // connection that is closed before its first request was read.
    let backend = Backend::start(&[]).await;
    let fleet = Fleet::start(98, &[&backend]).await;
    let stopping = async {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        fleet.gateway.stop(time::Duration::from_secs(5)).await
    };
    let calls = (0..CALLERS).map(|caller| {
        let fleet = &fleet;
        async move {
            let mut answered = 0;
            loop {
                let id = format!("c{caller}-{answered}");
                match fleet.try_call("non_idempotent", &id).await {
                    Ok((status, _)) => assert!(matches!(status, 200 | 503), "{id}: {status}"),
                    // The listener is closed: the connection was never accepted.
                    Err(error) if error.contains("refused") => return answered,
                    Err(error) => panic!("{id}: {error}"),
                }
                answered += 1;
            }
        }
    });
    let (all_finished, answered) = tokio::join!(stopping, futures_util::future::join_all(calls));
    assert!(all_finished);
    assert!(answered.iter().all(|count| *count > 0), "{answered:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_in_the_backlog_is_answered_during_a_stop() {
    // Guards against a reset of connections that the system has accepted but the gateway has not,
    // here because it has as many as it may have.
    let backend = Backend::start(&[Reply::ok("slow").delayed(1_500)]).await;
    let limits = lift_gateway::GatewayLimits {
        max_connections: 1,
        ..support::limits()
    };
    let fleet = Fleet::start_with(99, &[&backend], limits).await;
    let first = fleet.try_call("non_idempotent", "r1");
    let second = async {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        fleet.try_call("non_idempotent", "r2").await
    };
    let stopping = async {
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        fleet.gateway.stop(time::Duration::from_secs(5)).await
    };
    let (first, second, all_finished) = tokio::join!(first, second, stopping);
    assert_eq!(first, Ok((200, String::from("slow"))));
    assert!(matches!(second, Ok((200 | 503, _))), "{second:?}");
    assert!(all_finished);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_without_a_request_may_send_its_first_one_during_a_stop() {
    // Guards against closing a connection whose first request is on its way when the gateway
    // begins to close connections, 500 ms after the start of the stop.
    let backend = Backend::start(&[]).await;
    let fleet = Fleet::start(100, &[&backend]).await;
    let pause = time::Duration::from_millis(600);
    let call = support::call_as_old_caller_after(pause, fleet.callers(), "non_idempotent", "r1");
    // The request may last for 4 s, the timeout of its route.
    let stopping = fleet.gateway.stop(time::Duration::from_secs(8));
    let (answer, all_finished) = tokio::join!(call, stopping);
    assert!(answer.starts_with("HTTP/1.0 200"), "{answer}");
    assert!(all_finished);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_request_that_might_not_end_in_time_is_refused() {
    // Guards against requests that are sent on late in a stop and cut without an answer at its end,
    // among them some that must not run twice (a report of other operators).
    let backend = Backend::start(&[Reply::ok("slow").delayed(2_500)]).await;
    let fleet = Fleet::start(101, &[&backend]).await;
    let pause = time::Duration::from_millis(800);
    let call = support::call_as_old_caller_after(pause, fleet.callers(), "non_idempotent", "r1");
    let stopping = fleet.gateway.stop(time::Duration::from_secs(2));
    let (answer, all_finished) = tokio::join!(call, stopping);
    assert!(answer.starts_with("HTTP/1.0 503"), "{answer}");
    assert!(answer.contains("x-reason: stopping"), "{answer}");
    assert!(backend.received().is_empty());
    assert!(all_finished);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_lasts_longer_than_a_stop_is_answered() {
    // Guards against a connection that is closed without an answer at the end of a stop.
    let backend = Backend::start(&[Reply::ok("slow").delayed(3_500)]).await;
    let fleet = Fleet::start(102, &[&backend]).await;
    let call = fleet.try_call("non_idempotent", "r1");
    let stopping = async {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        fleet.gateway.stop(time::Duration::from_secs(1)).await
    };
    let (answer, all_finished) = tokio::join!(call, stopping);
    assert!(matches!(answer, Ok((502, _))), "{answer:?}");
    assert!(!all_finished);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_is_incomplete_at_the_end_of_a_stop_is_refused() {
    // Guards against a connection that is closed without an answer while the caller still sends, so
    // that the caller can't know that the request has not run.
    let backend = Backend::start(&[]).await;
    let fleet = Fleet::start(103, &[&backend]).await;
    let start = "POST /non_idempotent/x HTTP/1.1\r\nhost: h\r\nx-id: r1\r\nx-key: k1\r\n\
                 content-length: 9\r\n\r\nhalf";
    let call = support::send_raw(fleet.callers(), start);
    let stopping = async {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        fleet.gateway.stop(time::Duration::from_secs(1)).await
    };
    let (answer, _) = tokio::join!(call, stopping);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("x-reason: stopping"), "{answer}");
    assert!(backend.received().is_empty());
}
