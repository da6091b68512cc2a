//! Guards against requests lost when an entry or agent stops, requests accepted under an
//! unconfirmed policy, callers that exceed their limits or starve others, and silent agents that
//! stay in the directory.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod fleet;

use std::time;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

const CHAT: &str = "/v1/assistant/chat?tokens=50";

/// Threads that connect again and again while an entry stops.
const CALLERS: usize = 12;

fn text(tokens: usize) -> Option<String> {
    let text = lift_standin::AnswerText::new(b"draft a spread plan", tokens);
    Some(text.whole("v1"))
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_stops_completes_its_streams_and_refuses_new_work() {
    let fleet = fleet::Fleet::start(1).await;
    let _replica = fleet.replica(1, "v1", time::Duration::from_millis(5)).await;
    fleet.wait_for_agents(1).await;
    let streams = futures_util::future::join_all((0..8).map(|_| fleet.call(0, CHAT, &[])));
    let stop = async {
        tokio::time::sleep(time::Duration::from_millis(60)).await;
        let refused = async {
            tokio::time::sleep(time::Duration::from_millis(30)).await;
            fleet.call(0, CHAT, &[]).await
        };
        tokio::join!(fleet.entries[0].stop(time::Duration::from_secs(5)), refused)
    };
    let (replies, (left, refused)) = tokio::join!(streams, stop);
    assert_eq!(left, 0);
    assert_eq!(refused.outcome().1, "draining");
    assert_eq!(
        fleet.platform.last_readiness(),
        Some(lift_border::Readiness::NotReady)
    );
    for reply in replies {
        assert_eq!(reply.body, text(50));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_lasts_longer_than_a_stop_is_answered() {
    // Guards against a connection that is closed without an answer at the end of a stop, so that
    // the caller of a request that must not run twice learns nothing.
    let fleet = fleet::Fleet::start(1).await;
    let ledger = fleet.ledger(1).await;
    fleet.wait_for_agents(1).await;
    let late = lift_standin::AnswerFault::Late(time::Duration::from_secs(3));
    ledger.ledger.set_fault(late);
    let headers = [("idempotency-key", "k"), ("x-lift-deadline-ms", "5000")];
    let stop = async {
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        fleet.entries[0].stop(time::Duration::from_secs(1)).await
    };
    let call = fleet.call(0, "/v1/ledger/release", &headers);
    let (reply, cut_off) = tokio::join!(call, stop);
    let expected = (String::from("in_doubt"), String::from("draining"));
    assert_eq!(reply.outcome(), expected, "{reply:?}");
    assert_eq!(cut_off, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_stops_completes_its_streams() {
    let fleet = fleet::Fleet::start(1).await;
    let replica = fleet.replica(1, "v1", time::Duration::from_millis(5)).await;
    fleet.wait_for_agents(1).await;
    let streams = futures_util::future::join_all((0..8).map(|_| fleet.call(0, CHAT, &[])));
    let stop = async {
        tokio::time::sleep(time::Duration::from_millis(60)).await;
        replica.serve.stop(time::Duration::from_secs(5)).await
    };
    let (replies, left) = tokio::join!(streams, stop);
    assert_eq!(left, 0);
    for reply in replies {
        assert_eq!(reply.body, text(50));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unconfirmed_policy_stops_new_work() {
    let fleet = fleet::Fleet::start(1).await;
    let _replica = fleet.replica(1, "v1", time::Duration::ZERO).await;
    fleet.wait_for_agents(1).await;
    fleet
        .control
        .set_fault(lift_standin::ControlFault::Unavailable);
    fleet.control.forget_confirmation();
    let reply = fleet.call(0, CHAT, &[]).await;
    assert_eq!(reply.status, 503);
    let expected = (String::from("not_run"), String::from("config_unconfirmed"));
    assert_eq!(reply.outcome(), expected);
    fleet::wait_until(|| fleet.platform.last_readiness() == Some(lift_border::Readiness::NotReady))
        .await;
    fleet.control.set_fault(lift_standin::ControlFault::None);
    fleet::wait_until(|| fleet.platform.last_readiness() == Some(lift_border::Readiness::Ready))
        .await;
    assert!(fleet.call(0, CHAT, &[]).await.is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flooding_workspace_does_not_starve_another() {
    let limits = lift_entry::EntryLimits {
        max_in_progress: 4,
        ..lift_entry::EntryLimits::default()
    };
    let fleet = fleet::Fleet::with_limits(1, limits).await;
    let _replica = fleet.replica(1, "v1", time::Duration::from_millis(1)).await;
    fleet.wait_for_agents(1).await;
    let flood = futures_util::future::join_all((0..300).map(|_| {
        fleet.call(
            0,
            "/v1/assistant/chat?tokens=10",
            &[("x-lift-workspace", "flood")],
        )
    }));
    let small = async {
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        let started = time::Instant::now();
        let headers = [("x-lift-workspace", "small")];
        let reply = fleet
            .call(0, "/v1/assistant/chat?tokens=10", &headers)
            .await;
        assert!(reply.is_ok(), "{reply:?}");
        started.elapsed()
    };
    let started = time::Instant::now();
    let flood = async {
        flood.await;
        started.elapsed()
    };
    let (flooded, waited) = tokio::join!(flood, small);
    assert!(waited * 4 < flooded, "waited {waited:?} of {flooded:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_cannot_meet_their_deadline_are_refused_early() {
    let limits = lift_entry::EntryLimits {
        max_in_progress: 1,
        ..lift_entry::EntryLimits::default()
    };
    let fleet = fleet::Fleet::with_limits(1, limits).await;
    let _replica = fleet
        .replica(1, "v1", time::Duration::from_millis(20))
        .await;
    fleet.wait_for_agents(1).await;
    let headers = [("x-lift-deadline-ms", "150")];
    let calls = (0..20).map(|_| fleet.call(0, "/v1/assistant/chat?tokens=4", &headers));
    let started = time::Instant::now();
    let replies = futures_util::future::join_all(calls).await;
    assert!(started.elapsed() < time::Duration::from_millis(600));
    let late = replies.iter().filter(|r| r.outcome().1 == "deadline_unmet");
    assert!(late.count() > 5);
    assert!(replies.iter().any(fleet::Reply::is_ok));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_or_head_over_its_limit_and_a_stalled_caller_are_refused() {
    let limits = lift_entry::EntryLimits {
        max_body_bytes: 1_000,
        read_timeout: time::Duration::from_millis(300),
        ..lift_entry::EntryLimits::default()
    };
    let fleet = fleet::Fleet::with_limits(1, limits).await;
    let _replica = fleet.replica(1, "v1", time::Duration::ZERO).await;
    fleet.wait_for_agents(1).await;
    let long = "x".repeat(1_001);
    let reply = fleet.call_with_body(0, CHAT, &[], &long).await;
    assert_eq!(reply.status, 413);
    let many: Vec<_> = (0..100)
        .map(|i| (format!("x-{i}"), String::from("1")))
        .collect();
    let many: Vec<_> = many.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
    assert_eq!(fleet.call(0, CHAT, &many).await.status, 431);
    let addr = fleet.entries[0].http_addr();
    let mut stalled = tokio::net::TcpStream::connect(addr).await.unwrap();
    let head = "POST /v1/assistant/chat HTTP/1.1\r\nhost: a\r\nx-lift-workspace: depot\r\n\
                content-length: 10\r\n\r\nabc";
    stalled.write_all(head.as_bytes()).await.unwrap();
    let mut answer = [0; 12];
    let read = stalled.read_exact(&mut answer);
    let limit = time::Duration::from_secs(3);
    tokio::time::timeout(limit, read).await.unwrap().unwrap();
    assert_eq!(&answer, b"HTTP/1.1 400");
    assert_eq!(fleet.entries[0].in_progress(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_agent_is_removed_soon_after_its_timeout() {
    let fleet = fleet::Fleet::start(1).await;
    let replica = fleet.replica(1, "v1", time::Duration::ZERO).await;
    fleet.wait_for_agents(1).await;
    drop(replica.serve);
    let started = time::Instant::now();
    fleet::wait_until(|| fleet.entries[0].live_agents().is_empty()).await;
    assert!(started.elapsed() < time::Duration::from_millis(2_600));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_drained_by_an_entry_gets_no_new_requests_and_completes_its_streams() {
    let fleet = fleet::Fleet::start(2).await;
    let drained = fleet.replica(1, "v1", time::Duration::from_millis(5)).await;
    let _other = fleet.replica(2, "v1", time::Duration::ZERO).await;
    fleet.wait_for_agents(2).await;
    let streams = futures_util::future::join_all((0..8).map(|_| fleet.call(0, CHAT, &[])));
    let drain = async {
        tokio::time::sleep(time::Duration::from_millis(60)).await;
        fleet.entries[0].drain(1).await
    };
    let (replies, result) = tokio::join!(streams, drain);
    assert_eq!(result, Ok(()));
    for reply in replies {
        assert_eq!(reply.body, text(50));
    }
    for i in 0..20 {
        assert!(fleet.call(i % 2, CHAT, &[]).await.is_ok());
        assert_eq!(drained.serve.in_progress(), 0);
    }
    let unknown = fleet.entries[0].drain(99).await;
    assert_eq!(unknown, Err(lift_entry::DrainError::UnknownHost(99)));
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_on_accepted_connections_are_answered_while_an_entry_stops() {
    // Guards against a listener that is closed with connections in its backlog, and against a
    // connection that is closed before its first request was read.
    let fleet = fleet::Fleet::start(1).await;
    let _replica = fleet.replica(1, "v1", time::Duration::ZERO).await;
    fleet.wait_for_agents(1).await;
    let addr = fleet.entries[0].http_addr();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::task::spawn_blocking(move || call_until_refused(addr)))
        .collect();
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    fleet.entries[0].stop(time::Duration::from_secs(5)).await;
    for caller in futures_util::future::join_all(callers).await {
        let answers = caller.unwrap();
        assert!(matches!(answers, Ok(count) if count > 0), "{answers:?}");
    }
}

/// Calls on new connections until one is refused. Returns the number of answers.
fn call_until_refused(addr: std::net::SocketAddr) -> std::io::Result<usize> {
    use std::io::{Read as _, Write as _};
    let request = "POST /v1/assistant/chat?tokens=1 HTTP/1.1\r\nhost: a\r\nx-lift-workspace: depot\r\n\
                   connection: close\r\ncontent-length: 0\r\n\r\n";
    let mut answers = 0;
    loop {
        let mut stream = match std::net::TcpStream::connect(addr) {
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => return Ok(answers),
            connected => connected?,
        };
        stream.write_all(request.as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        assert!(answer.starts_with("HTTP/1.1 "), "{answer}");
        answers += 1;
    }
}
