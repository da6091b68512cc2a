//! Refusals that a backend server writes once more on a connection that is kept.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Backend, Fleet, Reply, Step};

/// An answer of one word.
const WORD: &str = "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: 1\r\ncontent-length: 4\r\n\r\nword";

/// The same from a server that repeats no identifiers.
const ANONYMOUS_WORD: &str = "HTTP/1.1 200 X\r\nx-seal: 1\r\ncontent-length: 4\r\n\r\nword";

/// A refusal as servers without identifiers send it.
const ANONYMOUS_REFUSAL: &str = "HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 5\r\n\r\nfull\n";

fn script(steps: &[Step]) -> Reply {
    Reply::Script(steps.to_vec())
}

fn refusals() -> Vec<String> {
    let heads = ["503 X\r\nx-not-run: 1", "429 X\r\nx-not-run: 1", "421 X"];
    let ids = ["", "\r\nx-id: r1", "\r\nx-id: r0"];
    let all = heads.iter().flat_map(|head| {
        ids.map(|id| format!("HTTP/1.1 {head}{id}\r\ncontent-length: 5\r\n\r\nfull\n"))
    });
    all.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_of_an_earlier_request_does_not_prove_that_this_one_has_not_run() {
    let backend_replies = refusals().into_iter().flat_map(|refusal| {
        let copy = script(&[Step::Send(refusal), Step::Pause(50), Step::Close]);
        [script(&[Step::send(WORD)]), copy]
    });
    let backend = Backend::start(&backend_replies.collect::<Vec<_>>()).await;
    let fleet = Fleet::start(100, &[&backend]).await;
    for refusal in refusals() {
        assert_eq!(fleet.call("non_idempotent", "r1").await.1, "word");
        let (status, _) = fleet.call("non_idempotent", "r2").await;
        assert_eq!(status, 502, "after {refusal}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_arrives_between_two_requests_refuses_neither() {
    let replies = (0..20).map(|i| {
        let copy = Step::Send(refusals()[i % refusals().len()].clone());
        script(&[Step::send(WORD), Step::Pause(10), copy])
    });
    let backend = Backend::start(&replies.collect::<Vec<_>>()).await;
    let fleet = Fleet::start(101, &[&backend]).await;
    for i in 0..20 {
        let (status, _) = fleet.call("non_idempotent", &format!("c{i}")).await;
        assert!(matches!(status, 200 | 502), "{status}");
        tokio::time::sleep(time::Duration::from_millis(i)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_without_identifiers_can_not_refuse_a_request_by_an_earlier_refusal() {
    let copy_first = script(&[
        Step::send_if_used(ANONYMOUS_REFUSAL),
        Step::Pause(20),
        Step::send(ANONYMOUS_WORD),
    ]);
    let first = script(&[Step::send(ANONYMOUS_WORD)]);
    let backend = Backend::start(&[first, copy_first]).await;
    let fleet = Fleet::start(102, &[&backend]).await;
    assert_eq!(fleet.call("non_idempotent", "r1").await.1, "word");
    let second = fleet.call("non_idempotent", "r2").await;
    assert_eq!(second, (200, String::from("word")));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_without_an_identifier_on_a_new_connection_counts() {
    // Guards against lost requests: nothing else can have been refused on that connection.
    let refusal = script(&[Step::Pause(100), Step::send(ANONYMOUS_REFUSAL)]);
    let first = Backend::start(&[refusal]).await;
    let second = Backend::start(&[]).await;
    let fleet = Fleet::start(103, &[&first, &second]).await;
    let answer = fleet.call_preferring(&first, &second, "non_idempotent", "r1");
    assert_eq!(answer.await, (200, String::from("done")));
}
