//! Guards against accepting a faulty answer of an agent: duplicate, reordered or missing parts,
//! messages of other requests, a refusal of another attempt, or a failure after dispatch.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod fleet;
mod scripted_agent;

use std::{sync, time};

use lift_wire::AnswerMessage;

/// Returns the messages with which the agent answers a call with the given id and attempt.
type Script = fn(u64, Option<u32>) -> Vec<AnswerMessage>;

fn head(id: u64) -> AnswerMessage {
    AnswerMessage::Head {
        id,
        status: 200,
        headers: Vec::new(),
        version: None,
        length: None,
    }
}

fn data(id: u64, sequence: u32, text: &'static str) -> AnswerMessage {
    AnswerMessage::Data {
        id,
        sequence,
        bytes: bytes::Bytes::from_static(text.as_bytes()),
    }
}

fn end(id: u64, total: u64, count: u32) -> AnswerMessage {
    AnswerMessage::End { id, total, count }
}

/// Starts an agent of the ledger on host 1 that answers calls by `script`, and claim queries with
/// `Unknown`.
async fn start(fleet: &fleet::Fleet, script: Script) {
    let script = move |call: &lift_wire::Call| {
        let attempt = call.claim.as_ref().map(|claim| claim.attempt);
        script(call.id, attempt)
    };
    let agent = scripted_agent::ScriptedAgent {
        host: 1,
        service: "ledger",
        version: None,
        pause: time::Duration::ZERO,
        script: sync::Arc::new(script),
    };
    agent.start(fleet).await;
    fleet.wait_for_agents(1).await;
}

async fn lookup(script: Script) -> fleet::Reply {
    let fleet = fleet::Fleet::start(1).await;
    start(&fleet, script).await;
    let headers = [("x-lift-deadline-ms", "700")];
    fleet.call(0, "/v1/ledger/lookup", &headers).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_complete_answer_is_forwarded() {
    let reply = lookup(|id, _| {
        let (first, second) = (data(id, 0, "four "), data(id, 1, "tons"));
        vec![head(id), first, second, end(id, 9, 2)]
    });
    assert_eq!(reply.await.body.as_deref(), Some("four tons"));
}

#[tokio::test(flavor = "multi_thread")]
async fn duplicate_reordered_and_missing_parts_are_never_accepted_as_a_complete_answer() {
    let scripts: [Script; 5] = [
        |id, _| {
            let part = data(id, 0, "four ");
            vec![head(id), part.clone(), part, end(id, 10, 2)]
        },
        |id, _| {
            let (first, second) = (data(id, 0, "four "), data(id, 1, "tons"));
            vec![head(id), second, first, end(id, 9, 2)]
        },
        |id, _| vec![head(id), data(id, 0, "four "), end(id, 9, 2)],
        |id, _| vec![head(id), head(id), end(id, 0, 0)],
        |id, _| vec![head(id), data(id, 0, "four ")],
    ];
    for script in scripts {
        let reply = lookup(script).await;
        let is_rejected = reply.body.is_none() || !reply.is_ok();
        assert!(is_rejected, "{reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn messages_of_other_requests_are_dropped() {
    let reply = lookup(|id, _| {
        let crossed = [head(id + 7), data(id + 7, 0, "wrong"), end(id + 7, 5, 1)];
        let own = [head(id), data(id, 0, "right"), end(id, 5, 1)];
        crossed.into_iter().chain(own).collect()
    });
    assert_eq!(reply.await.body.as_deref(), Some("right"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_of_another_attempt_does_not_prove_not_run() {
    let fleet = fleet::Fleet::start(1).await;
    start(&fleet, |id, attempt| {
        vec![AnswerMessage::Refused {
            id,
            reason: lift_types::RefusalReason::Switching,
            attempt: attempt.map(|attempt| attempt + 1),
        }]
    })
    .await;
    let headers = [("idempotency-key", "k"), ("x-lift-deadline-ms", "700")];
    let reply = fleet.call(0, "/v1/ledger/release", &headers).await;
    assert_eq!(reply.outcome().0, "in_doubt", "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_that_was_dispatched_is_not_reported_as_not_run() {
    let reply = lookup(|id, _| {
        vec![AnswerMessage::Failed {
            id,
            failure: lift_wire::CallFailure::Broken,
        }]
    })
    .await;
    assert_eq!(reply.outcome().0, "in_doubt", "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_after_the_start_of_an_answer_does_not_prove_not_run() {
    // Guards against a second run of a request whose answer had begun.
    let fleet = fleet::Fleet::start(1).await;
    start(&fleet, |id, attempt| {
        let refused = AnswerMessage::Refused {
            id,
            reason: lift_types::RefusalReason::Switching,
            attempt,
        };
        vec![head(id), data(id, 0, "four "), refused]
    })
    .await;
    let headers = [("idempotency-key", "k"), ("x-lift-deadline-ms", "700")];
    let reply = fleet.call(0, "/v1/ledger/release", &headers).await;
    assert_eq!(reply.outcome().0, "in_doubt", "{reply:?}");
}
