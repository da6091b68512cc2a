//! Guards against an incomplete answer, or a second run of a claimed request, on the path from an
//! entry through an agent to a backend server and back.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod fleet;

use std::time;

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_gets_the_complete_answer_of_one_version() {
    let fleet = fleet::Fleet::start(1).await;
    let _replica = fleet.replica(1, "v1", time::Duration::ZERO).await;
    fleet.wait_for_agents(1).await;
    let reply = fleet.call(0, "/v1/assistant/chat?tokens=20", &[]).await;
    let text = lift_standin::AnswerText::new(b"draft a spread plan", 20);
    assert_eq!(
        reply.body.as_deref(),
        Some(text.whole("v1").as_str()),
        "{reply:?}"
    );
    assert_eq!(reply.headers["x-lift-version"], "v1");
    assert!(reply.headers.contains_key("x-lift-request-id"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claimed_request_runs_once_through_two_entries() {
    let fleet = fleet::Fleet::start(2).await;
    let ledger = fleet.ledger(1).await;
    fleet.wait_for_agents(1).await;
    let key = [("idempotency-key", "truck-7")];
    let first = fleet.call(0, "/v1/ledger/release", &key).await;
    assert!(first.is_ok(), "{first:?}");
    let second = fleet.call(1, "/v1/ledger/release", &key).await;
    assert_eq!(first.body, second.body);
    assert_eq!(ledger.ledger.runs("truck-7"), 1);
}
