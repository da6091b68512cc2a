//! Guards against a second run of a non-idempotent request, and against "not run" for a request
//! that ran, when answers, connections, agents or control fail.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod fleet;

use std::{sync, time};

use lift_standin::AnswerFault;

const RELEASE: &str = "/v1/ledger/release";

fn pair(outcome: &str, reason: &str) -> (String, String) {
    (String::from(outcome), String::from(reason))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_in_doubt_and_a_repeat_does_not_run_again() {
    let fleet = fleet::Fleet::start(2).await;
    let ledger = fleet.ledger(1).await;
    let other = fleet.ledger(2).await;
    fleet.wait_for_agents(2).await;
    ledger.ledger.set_fault(AnswerFault::Cut);
    other.ledger.set_fault(AnswerFault::Cut);
    let headers = [("idempotency-key", "k"), ("x-lift-deadline-ms", "2000")];
    let first = fleet.call(0, RELEASE, &headers).await;
    assert_eq!(first.outcome().0, "in_doubt", "{first:?}");
    let repeat = fleet.call(1, RELEASE, &headers).await;
    assert_eq!(repeat.outcome().0, "in_doubt", "{repeat:?}");
    assert_eq!(ledger.ledger.runs("k") + other.ledger.runs("k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_through_another_entry_waits_for_the_running_attempt() {
    let fleet = fleet::Fleet::start(2).await;
    let ledger = fleet.ledger(1).await;
    fleet.wait_for_agents(1).await;
    ledger
        .ledger
        .set_fault(AnswerFault::Late(time::Duration::from_millis(300)));
    let headers = [("idempotency-key", "k")];
    let (first, second) = tokio::join!(
        fleet.call(0, RELEASE, &headers),
        fleet.call(1, RELEASE, &headers),
    );
    assert!(first.is_ok() && second.is_ok(), "{first:?} {second:?}");
    assert_eq!(first.body, second.body);
    assert_eq!(ledger.ledger.runs("k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_loses_no_outcome() {
    let fleet = fleet::Fleet::start(1).await;
    let relay = lift_standin::AnswerRelay::start().await.unwrap();
    let ledger = lift_standin::PlainLedger::start().await.unwrap();
    let _serve = fleet.ledger_agent(&ledger, 1, 1, Some(&relay)).await;
    fleet.wait_for_agents(1).await;
    assert!(
        fleet
            .call(0, RELEASE, &[("idempotency-key", "a")])
            .await
            .is_ok()
    );
    relay.silence();
    let reply = fleet.call(0, RELEASE, &[("idempotency-key", "b")]).await;
    assert!(reply.is_ok(), "{reply:?}");
    assert_eq!(ledger.runs("b"), 1);
    let silent = fleet.entries[0]
        .counters()
        .value("link.closed.connection_silent");
    assert_eq!(silent, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_incarnation_does_not_answer_for_an_earlier_one() {
    let fleet = fleet::Fleet::start(1).await;
    let first = fleet.ledger(1).await;
    fleet.wait_for_agents(1).await;
    first.ledger.set_fault(AnswerFault::Cut);
    let headers = [("idempotency-key", "k"), ("x-lift-deadline-ms", "1500")];
    assert_eq!(
        fleet.call(0, RELEASE, &headers).await.outcome().0,
        "in_doubt"
    );
    first.ledger.set_fault(AnswerFault::None);
    drop(first.serve);
    let _second = fleet.ledger_agent(&first.ledger, 1, 2, None).await;
    fleet::wait_until(|| {
        fleet.entries[0]
            .live_agents()
            .iter()
            .any(|a| a.incarnation == 2)
    })
    .await;
    let repeat = fleet.call(0, RELEASE, &headers).await;
    assert_eq!(repeat.outcome().0, "in_doubt", "{repeat:?}");
    assert_eq!(first.ledger.runs("k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_before_dispatch_moves_the_claim() {
    let fleet = fleet::Fleet::start(1).await;
    let leaving = fleet.ledger(1).await;
    let staying = fleet.ledger(2).await;
    fleet.wait_for_agents(2).await;
    leaving.serve.leave();
    for i in 0..20 {
        let key = format!("k{i}");
        let reply = fleet.call(0, RELEASE, &[("idempotency-key", &key)]).await;
        assert!(reply.is_ok(), "{reply:?}");
        assert_eq!(leaving.ledger.runs(&key), 0);
        assert_eq!(staying.ledger.runs(&key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_replies_of_control_cause_no_run_and_no_false_not_run() {
    let fleet = fleet::Fleet::start(1).await;
    let ledger = fleet.ledger(1).await;
    fleet.wait_for_agents(1).await;
    fleet
        .control
        .set_fault(lift_standin::ControlFault::LosesAnswers);
    let headers = [("idempotency-key", "k")];
    let reply = fleet.call(0, RELEASE, &headers).await;
    // Nothing proves that no other submission under the key has run.
    assert_eq!(reply.outcome(), pair("in_doubt", "claim_unavailable"));
    assert_eq!(ledger.ledger.runs("k"), 0);
    // The claim was granted although the reply was lost. The repeat takes it over.
    fleet.control.set_fault(lift_standin::ControlFault::None);
    let repeat = fleet.call(0, RELEASE, &headers).await;
    let is_taken_over = repeat.is_ok() || repeat.outcome().0 == "not_run";
    assert!(is_taken_over, "{repeat:?}");
    assert_eq!(ledger.ledger.runs("k"), u32::from(repeat.is_ok()));
}

/// Guards against "not run" for a repeat that is refused before it is claimed, although the first
/// submission ran. The fault matrix found this failure.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_repeat_of_a_request_that_ran_is_not_reported_as_not_run() {
    let fleet = fleet::Fleet::start(1).await;
    let ledger = fleet.ledger(1).await;
    fleet.wait_for_agents(1).await;
    let ran = [("idempotency-key", "ran")];
    assert!(fleet.call(0, RELEASE, &ran).await.is_ok());
    drop(ledger.serve);
    fleet::wait_until(|| fleet.entries[0].live_agents().is_empty()).await;
    let repeat = fleet.call(0, RELEASE, &ran).await;
    assert_ne!(repeat.outcome().0, "not_run", "{repeat:?}");
    let unused = fleet
        .call(0, RELEASE, &[("idempotency-key", "unused")])
        .await;
    assert_eq!(unused.outcome(), pair("not_run", "no_host"));
    fleet
        .control
        .set_fault(lift_standin::ControlFault::Unavailable);
    fleet::wait_until(|| fleet.platform.last_readiness() == Some(lift_border::Readiness::NotReady))
        .await;
    let repeat = fleet.call(0, RELEASE, &ran).await;
    assert_eq!(repeat.outcome(), pair("in_doubt", "config_unconfirmed"));
    assert_eq!(ledger.ledger.runs("ran"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reused_key_with_another_body_is_refused() {
    let fleet = fleet::Fleet::start(1).await;
    let ledger = fleet.ledger(1).await;
    fleet.wait_for_agents(1).await;
    let headers = [("idempotency-key", "k")];
    assert!(
        fleet
            .call_with_body(0, RELEASE, &headers, "4 t")
            .await
            .is_ok()
    );
    let reused = fleet.call_with_body(0, RELEASE, &headers, "5 t").await;
    assert_eq!(reused.status, 422);
    assert_eq!(reused.outcome(), pair("not_run", "key_reused"));
    assert_eq!(ledger.ledger.runs("k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_method_is_non_idempotent_and_needs_a_key() {
    let fleet = fleet::Fleet::start(1).await;
    let _ledger = fleet.ledger(1).await;
    fleet.wait_for_agents(1).await;
    let reply = fleet.call(0, "/v1/ledger/cancel", &[]).await;
    assert_eq!(reply.status, 400);
    assert_eq!(reply.outcome(), pair("not_run", "key_missing"));
    let reply = fleet.call(0, "/v1/unknown/lookup", &[]).await;
    assert_eq!(reply.outcome(), pair("not_run", "unknown_service"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_agent_causes_no_second_run_and_no_false_not_run() {
    let fleet = sync::Arc::new(fleet::Fleet::start(2).await);
    let ledger = fleet.ledger(1).await;
    let other = fleet.ledger(2).await;
    fleet.wait_for_agents(2).await;
    let calls = (0..60).map(|i| {
        let fleet = sync::Arc::clone(&fleet);
        async move {
            tokio::time::sleep(time::Duration::from_millis(i * 2)).await;
            let key = format!("k{i}");
            let headers = [
                ("idempotency-key", key.as_str()),
                ("x-lift-deadline-ms", "3000"),
            ];
            let reply = fleet.call(i as usize % 2, RELEASE, &headers).await;
            (key, reply)
        }
    });
    let kill = async {
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        drop(ledger.serve);
    };
    let (replies, ()) = tokio::join!(futures_util::future::join_all(calls), kill);
    for (key, reply) in replies {
        let runs = ledger.ledger.runs(&key) + other.ledger.runs(&key);
        assert!(runs <= 1, "{key} ran {runs} times");
        if reply.is_ok() {
            assert_eq!(runs, 1, "{key}");
        }
        if reply.outcome().0 == "not_run" {
            assert_eq!(runs, 0, "{key} {reply:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_an_agent_leaves_nothing_in_doubt() {
    let fleet = sync::Arc::new(fleet::Fleet::start(2).await);
    let leaving = fleet.ledger(1).await;
    let staying = fleet.ledger(2).await;
    fleet.wait_for_agents(2).await;
    let calls = (0..400).map(|i| {
        let fleet = sync::Arc::clone(&fleet);
        async move {
            tokio::time::sleep(time::Duration::from_millis(i * 3)).await;
            let key = format!("k{i}");
            let headers = [("idempotency-key", key.as_str())];
            fleet.call(i as usize % 2, RELEASE, &headers).await
        }
    });
    let stop = async {
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        leaving.serve.stop(time::Duration::from_secs(5)).await
    };
    let (replies, left) = tokio::join!(futures_util::future::join_all(calls), stop);
    assert_eq!(left, 0);
    for reply in replies {
        assert!(reply.is_ok(), "{reply:?}");
    }
    assert!(staying.ledger.all_runs().len() > leaving.ledger.all_runs().len());
}
