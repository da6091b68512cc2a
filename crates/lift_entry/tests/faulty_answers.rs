//! Guards against wrong answers that reach a caller when a backend server answers wrongly, late or
//! incompletely: the answer of another request, a truncated answer, or one of mixed versions. Also
//! guards against sending requests to a host with damaged answers, and against calls that keep
//! running after their caller has disconnected.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod fleet;

use std::time;

use lift_standin::AnswerFault;

const BODY: &[u8] = b"draft a spread plan";

fn text(tokens: usize, version: &str) -> Option<String> {
    Some(lift_standin::AnswerText::new(BODY, tokens).whole(version))
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_of_other_requests_are_never_forwarded() {
    let fleet = fleet::Fleet::start(1).await;
    let crossed = fleet.replica(1, "v1", time::Duration::ZERO).await;
    let _good = fleet.replica(2, "v1", time::Duration::ZERO).await;
    fleet.wait_for_agents(2).await;
    crossed.engine.set_fault(AnswerFault::Crossed);
    for i in 0..40 {
        let prefix = format!("{i}");
        let headers = [("x-lift-prefix", prefix.as_str())];
        let reply = fleet.call(0, "/v1/assistant/chat?tokens=8", &headers).await;
        assert_eq!(reply.body, text(8, "v1"), "{reply:?}");
    }
    let damaged = fleet.entries[0].counters().value("retry.answer_damaged");
    assert!(damaged > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_with_damaged_answers_stops_receiving_requests() {
    let fleet = fleet::Fleet::start(1).await;
    let crossed = fleet.replica(1, "v1", time::Duration::ZERO).await;
    let _good = fleet.replica(2, "v1", time::Duration::ZERO).await;
    fleet.wait_for_agents(2).await;
    crossed.engine.set_fault(AnswerFault::Crossed);
    let damaged = || fleet.entries[0].counters().value("retry.answer_damaged");
    let call = async |i: u32| {
        let prefix = format!("{i}");
        let headers = [("x-lift-prefix", prefix.as_str())];
        fleet.call(0, "/v1/assistant/chat", &headers).await
    };
    for i in 0..40 {
        call(i).await;
    }
    tokio::time::sleep(time::Duration::from_millis(600)).await;
    let before = damaged();
    for i in 0..40 {
        call(i).await;
    }
    assert_eq!(damaged(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_cancels_its_call() {
    let fleet = fleet::Fleet::start(1).await;
    let replica = fleet
        .replica(1, "v1", time::Duration::from_millis(20))
        .await;
    fleet.wait_for_agents(1).await;
    let call = fleet.call(0, "/v1/assistant/chat?tokens=1000", &[]);
    let limit = time::Duration::from_millis(200);
    assert!(tokio::time::timeout(limit, call).await.is_err());
    let started = time::Instant::now();
    fleet::wait_until(|| replica.serve.in_progress() == 0).await;
    assert!(started.elapsed() < time::Duration::from_secs(5));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_is_hedged_and_does_not_reach_another_caller() {
    let limits = lift_entry::EntryLimits {
        hedge_after: time::Duration::from_millis(50),
        ..lift_entry::EntryLimits::default()
    };
    let fleet = fleet::Fleet::with_limits(1, limits).await;
    let late = fleet.replica(1, "v1", time::Duration::ZERO).await;
    let _good = fleet.replica(2, "v1", time::Duration::ZERO).await;
    fleet.wait_for_agents(2).await;
    late.engine
        .set_fault(AnswerFault::Late(time::Duration::from_millis(300)));
    for i in 0..20 {
        let body = format!("request {i}");
        let reply = fleet
            .call_with_body(0, "/v1/assistant/chat?tokens=8", &[], &body)
            .await;
        let expected = lift_standin::AnswerText::new(body.as_bytes(), 8).whole("v1");
        assert_eq!(reply.body, Some(expected));
    }
    assert!(fleet.entries[0].counters().value("retry.hedged") > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_resumes_on_the_same_version_only() {
    let fleet = fleet::Fleet::start(1).await;
    let delay = time::Duration::from_millis(2);
    let mut replicas = Vec::new();
    for (host, version) in [(1, "v1"), (2, "v2"), (3, "v1"), (4, "v2")] {
        replicas.push(fleet.replica(host, version, delay).await);
    }
    fleet.wait_for_agents(4).await;
    replicas[0].engine.set_fault(AnswerFault::Cut);
    replicas[1].engine.set_fault(AnswerFault::Cut);
    for i in 0..20 {
        let prefix = format!("{i}");
        let headers = [("x-lift-prefix", prefix.as_str())];
        let reply = fleet
            .call(0, "/v1/assistant/chat?tokens=30", &headers)
            .await;
        let version = reply.headers["x-lift-version"].to_str().unwrap();
        assert_eq!(reply.body, text(30, version));
    }
    assert!(fleet.entries[0].counters().value("entry.stream_resumed") > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_that_cannot_resume_ends_with_an_error() {
    let fleet = fleet::Fleet::start(1).await;
    let only = fleet.replica(1, "v1", time::Duration::from_millis(2)).await;
    fleet.wait_for_agents(1).await;
    only.engine.set_fault(AnswerFault::Cut);
    let reply = fleet.call(0, "/v1/assistant/chat?tokens=30", &[]).await;
    assert_eq!(
        reply.body, None,
        "a truncated answer was accepted as a complete one"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_longer_than_the_credit_window_arrives_complete() {
    let fleet = fleet::Fleet::start(1).await;
    let _replica = fleet.replica(1, "v1", time::Duration::ZERO).await;
    fleet.wait_for_agents(1).await;
    let reply = fleet.call(0, "/v1/assistant/chat?tokens=100000", &[]).await;
    assert!(
        reply.body == text(100_000, "v1"),
        "{} bytes",
        reply.body.unwrap().len()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_switch_never_mixes_versions_in_an_answer() {
    use lift_border::ServingControl as _;
    let fleet = fleet::Fleet::start(1).await;
    let replica = fleet.replica(1, "v1", time::Duration::from_millis(2)).await;
    fleet.wait_for_agents(1).await;
    let calls = (0..10).map(|_| fleet.call(0, "/v1/assistant/chat?tokens=50", &[]));
    let change = async {
        tokio::time::sleep(time::Duration::from_millis(40)).await;
        let limit = time::Duration::from_secs(5);
        assert_eq!(replica.serve.close_and_drain(limit).await, 0);
        replica.version.send_replace(Some(String::from("v2")));
        replica.serve.open(lift_types::ServingVersion {
            version: String::from("v2"),
            fencing: 2,
        });
    };
    let (replies, ()) = tokio::join!(futures_util::future::join_all(calls), change);
    for reply in replies {
        assert_eq!(reply.body, text(50, "v1"));
    }
    let limit = tokio::time::Instant::now() + time::Duration::from_secs(2);
    loop {
        let reply = fleet.call(0, "/v1/assistant/chat?tokens=50", &[]).await;
        if reply.is_ok() {
            assert_eq!(reply.body, text(50, "v2"));
            break;
        }
        assert!(tokio::time::Instant::now() < limit, "{reply:?}");
    }
}
