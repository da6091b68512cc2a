//! Guards against requests that reach backend servers in an evacuated failure domain, and against
//! requests in progress there that are cut off.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Backend, Fleet, Reply, Step};

/// Failure domain that is evacuated.
const EVACUATED: &str = "e";

/// Time for which a server takes no step, in milliseconds. The evacuation comes meanwhile.
const PAUSE_MS: u64 = 400;

/// Waits until a server has received a request.
async fn received(backend: &Backend) {
    while backend.received().is_empty() {
        tokio::time::sleep(time::Duration::from_millis(1)).await;
    }
}

/// Calls two servers, the first of which gives `reply` and is preferred. The failure domain of the
/// second one is evacuated before the first one replies. Returns the status and the number of
/// requests that the second and a third server, which comes then, have received.
async fn call_during_an_evacuation(
    subnet: u8,
    route: &str,
    reply: Reply,
    has_third: bool,
) -> (Result<u16, String>, usize, usize) {
    let first = Backend::start(&[reply]).await;
    let second = Backend::start(&[]).await;
    let third = Backend::start(&[Reply::events(4..=5)]).await;
    let fleet = Fleet::start(subnet, &[&first]).await;
    let calling = fleet.try_call(route, "r1");
    let evacuating = async {
        received(&first).await;
        fleet.announce_in(EVACUATED, &second, 1);
        fleet.evacuate(3, EVACUATED).await;
        if has_third {
            fleet.announce(&third, 1);
        }
    };
    let (answer, ()) = tokio::join!(calling, evacuating);
    let answer = answer.map(|(status, _)| status);
    (answer, second.received().len(), third.received().len())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_does_not_go_to_an_evacuated_server() {
    let failing = Reply::status(500).delayed(PAUSE_MS);
    let (answer, evacuated, _) =
        call_during_an_evacuation(150, "idempotent", failing.clone(), false).await;
    assert_ne!(answer, Ok(200));
    assert_eq!(evacuated, 0);
    let (answer, evacuated, other) =
        call_during_an_evacuation(151, "idempotent", failing, true).await;
    assert_eq!((answer, evacuated, other), (Ok(200), 0, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_at_another_server_than_an_evacuated_one() {
    let breaking = Reply::events(1..=3).truncated().delayed(PAUSE_MS);
    let (answer, evacuated, _) =
        call_during_an_evacuation(152, "stream", breaking.clone(), false).await;
    assert!(answer.is_err(), "{answer:?}");
    assert_eq!(evacuated, 0);
    let (answer, evacuated, other) = call_during_an_evacuation(153, "stream", breaking, true).await;
    assert_eq!((answer, evacuated, other), (Ok(200), 0, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_in_progress_ends_in_peace() {
    // Guards against an evacuation that cuts off what already runs.
    let head = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: 1\r\n\
        content-type: text/event-stream\r\nconnection: close\r\n\r\n";
    let script = Reply::Script(vec![
        Step::send(head),
        Step::send("id: 1\ndata: word\n\n"),
        Step::Pause(PAUSE_MS / 2),
        Step::send("id: 2\ndata: word\n\n"),
        Step::Pause(PAUSE_MS / 2),
        Step::send("id: 3\ndata: end\n\n"),
        Step::Close,
    ]);
    let leaving = Backend::start(&[script]).await;
    let other = Backend::start(&[]).await;
    let fleet = Fleet::start(154, &[&leaving]).await;
    fleet.announce_in(EVACUATED, &leaving, 2);
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    let evacuating = async {
        received(&leaving).await;
        fleet.announce(&other, 1);
        fleet.evacuate(3, EVACUATED).await;
        fleet.call("idempotent", "r2").await
    };
    let (stream, second) = tokio::join!(fleet.call("stream", "r1"), evacuating);
    assert_eq!(stream.0, 200);
    assert!(stream.1.contains("id: 3\ndata: end"), "{}", stream.1);
    assert_eq!(second.0, 200);
    assert_eq!(leaving.received().len(), 1);
    assert_eq!(other.received().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_without_a_server_left_are_refused_at_once_by_a_ready_gateway() {
    // Guards against a load balancer that takes out all gateways, so that callers get no answer,
    // against requests that wait in vain, and against a restored domain that stays unused.
    let server = Backend::start(&[]).await;
    let fleet = Fleet::start(155, &[&server]).await;
    fleet.announce_in(EVACUATED, &server, 2);
    fleet.evacuate(3, EVACUATED).await;
    for route in ["idempotent", "non_idempotent", "stream"] {
        let (status, reason) = fleet.call(route, "r1").await;
        assert_eq!((status, reason.trim()), (503, "evacuated"), "{route}");
    }
    // A server that starts anew there gets nothing either.
    fleet.announce_in(EVACUATED, &server, 5);
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    assert_eq!(fleet.call("idempotent", "r2").await.0, 503);
    assert_eq!(fleet.ready().await, 200);
    assert_eq!(fleet.counters.value("gateway.evacuated_backends"), 1);
    assert_eq!(fleet.counters.value("feed.evacuated_domains"), 1);
    assert_eq!(server.received().len(), 0);
    fleet.restore(4, EVACUATED).await;
    assert_eq!(fleet.call("idempotent", "r3").await.0, 200);
    assert_eq!(fleet.counters.value("gateway.evacuated_backends"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_waiting_request_is_refused_when_its_last_server_is_evacuated() {
    // Guards against requests that wait until their deadline for a server that may not run them.
    let server = Backend::start(&[]).await;
    let fleet = Fleet::start(156, &[&server]).await;
    fleet.announce_in(EVACUATED, &server, 2);
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    // The server holds no weights, and this route waits for a seat until the deadline.
    let calling = async {
        let called = [
            fleet.call_model("endless_times", "r1"),
            fleet.call_model("endless_times", "r2"),
        ];
        futures_util::future::join_all(called).await
    };
    let evacuating = async {
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        fleet.evacuate(3, EVACUATED).await;
    };
    let started = time::Instant::now();
    let limit = time::Duration::from_secs(20);
    let both = async { tokio::join!(calling, evacuating) };
    let (answers, ()) = tokio::time::timeout(limit, both).await.unwrap();
    assert!(started.elapsed() >= time::Duration::from_millis(300));
    for (status, reason) in answers {
        assert_eq!((status, reason.trim()), (503, "evacuated"));
    }
}
