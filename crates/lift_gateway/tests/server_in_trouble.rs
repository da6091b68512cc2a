//! Backend servers in trouble: late copies, endless bytes, trickles and slow streams. See the table
//! in `docs/faults.md`.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Backend, Fleet, Reply, Step};

/// Head of an answer of one word.
const WORD: &str = "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: 1\r\ncontent-length: 4\r\n\r\nword";

/// Head of a stream in chunks.
const STREAM_HEAD: &str =
    "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: 1\r\ntransfer-encoding: chunked\r\n\r\n";

/// A chunk that ends no event.
const HALF_EVENT_BYTE: &str = "1\r\nd\r\n";

fn script(steps: &[Step]) -> Reply {
    Reply::Script(steps.to_vec())
}

/// One event as a chunk.
fn event_chunk(number: u64) -> String {
    let event = format!("id: {number}\ndata: w\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// Time of a call, and its result.
async fn timed_call(
    fleet: &Fleet,
    route: &str,
    id: &str,
) -> (time::Duration, Result<(u16, String), String>) {
    let started = time::Instant::now();
    let result = fleet.try_call(route, id).await;
    (started.elapsed(), result)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_copy_in_the_same_packet_reaches_no_caller() {
    // Guards against a copy of an answer that becomes the answer to the next request.
    let copy = "HTTP/1.1 200 X\r\nx-seal: 1\r\ncontent-length: 4\r\n\r\ncopy";
    let twice = script(&[Step::Send(format!("{WORD}{copy}"))]);
    let backend = Backend::start(&[twice]).await;
    let fleet = Fleet::start(84, &[&backend]).await;
    assert_eq!(fleet.call("non_idempotent", "r1").await.1, "word");
    for id in ["r2", "r3"] {
        let body = fleet.call("non_idempotent", id).await.1;
        assert_eq!(body, "done");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_copy_on_an_idle_connection_reaches_no_caller() {
    let copy = "HTTP/1.1 200 X\r\nx-seal: 1\r\ncontent-length: 4\r\n\r\ncopy";
    let late = script(&[Step::send(WORD), Step::Pause(100), Step::send(copy)]);
    let backend = Backend::start(&[late]).await;
    let fleet = Fleet::start(85, &[&backend]).await;
    assert_eq!(fleet.call("non_idempotent", "r1").await.1, "word");
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    assert_eq!(fleet.call("non_idempotent", "r2").await.1, "done");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_copy_without_an_identifier_is_not_the_answer_to_the_next_request() {
    // The copy arrives while the next request waits for its answer. It lacks the identifier that
    // this server's answers carry.
    let copy = "HTTP/1.1 200 X\r\nx-seal: 1\r\ncontent-length: 4\r\n\r\ncopy";
    let backend = Backend::start(&[script(&[Step::send(WORD)]), script(&[Step::send(copy)])]).await;
    let fleet = Fleet::start(86, &[&backend]).await;
    assert_eq!(fleet.call("non_idempotent", "r1").await.1, "word");
    let (status, body) = fleet.call("non_idempotent", "r2").await;
    assert_eq!(status, 502, "{body}");
    assert!(!body.contains("copy"));
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_bytes_without_content_end_at_a_bound() {
    // Guards against a server that costs a host its processor time until the deadline. The calls
    // take 4 s if nothing limits the bytes.
    let in_chunk_size = format!("{STREAM_HEAD}4");
    let header = "x-more: 0123456789012345678901234567890123456789\r\n";
    let informational_head = "HTTP/1.1 103 X\r\nx-more: 1\r\n\r\n";
    let endless = [
        ("head", "HTTP/1.1 200 X\r\n", header),
        ("informational heads", "", informational_head),
        ("chunk size", &in_chunk_size, "0000000000000000000000000000"),
        (
            "chunk extension",
            &in_chunk_size,
            ";more=0123456789012345678901",
        ),
    ];
    for (i, (name, start, repeated)) in endless.into_iter().enumerate() {
        let steps = [Step::send(start), Step::repeat(&repeated.repeat(50), 0)];
        let backend = Backend::start(&[script(&steps)]).await;
        let fleet = Fleet::start(87 + i as u8, &[&backend]).await;
        let (took, result) = timed_call(&fleet, "non_idempotent", "r1").await;
        assert_eq!(result.map(|(status, _)| status), Ok(502), "{name}");
        assert!(took < time::Duration::from_secs(2), "{name} took {took:?}");
        assert_eq!(fleet.call("non_idempotent", "r2").await.1, "done", "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_trickle_that_completes_no_event_is_a_stall() {
    // Guards against a stalled server that holds a stream until its deadline by sending a byte or
    // a comment now and then. The stall timeout of these streams is 1.5 s.
    let comment = "6\r\n: on\n\n\r\n";
    for (i, trickle) in [HALF_EVENT_BYTE, comment].into_iter().enumerate() {
        let stalled = script(&[
            Step::send(STREAM_HEAD),
            Step::Send(event_chunk(1)),
            Step::repeat(trickle, 100),
        ]);
        let first = Backend::start(&[stalled]).await;
        let fleet = Fleet::start(93 + i as u8, &[&first]).await;
        let second = Backend::start(&[Reply::events(2..=3)]).await;
        let started = time::Instant::now();
        let call = fleet.call_preferring(&first, &second, "stream", "r1");
        let (status, body) = call.await;
        assert_eq!(status, 200);
        assert!(body.contains("id: 3\n"), "{body}");
        assert_eq!(second.received()[0].last_event.as_deref(), Some("1"));
        let took = started.elapsed();
        assert!(took < time::Duration::from_millis(2_500), "{took:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_a_length_that_ends_before_its_first_event_is_broken_off() {
    // Guards against a crash that passes for a complete answer without events: an answer without a
    // length ends with its connection.
    let head = "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: 1\r\n\r\n";
    let first = Backend::start(&[script(&[Step::send(head), Step::Pause(50), Step::Close])]).await;
    let fleet = Fleet::start(133, &[&first]).await;
    let second = Backend::start(&[Reply::events(1..=3)]).await;
    let (status, body) = fleet.call_preferring(&first, &second, "stream", "r1").await;
    assert_eq!(status, 200);
    assert!(body.contains("id: 3\n"), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_but_sound_stream_is_not_cut() {
    // Guards against ending a stream that can't move to another server, because its pauses are
    // longer than the stall timeout of 1.5 s.
    let slow = script(&[
        Step::send(STREAM_HEAD),
        Step::Send(event_chunk(1)),
        Step::Pause(1_700),
        Step::Send(event_chunk(2)),
        Step::Pause(1_700),
        Step::Send(format!("{}0\r\n\r\n", event_chunk(3))),
    ]);
    let backend = Backend::start(&[slow]).await;
    let fleet = Fleet::start(95, &[&backend]).await;
    let result = fleet.try_call("stream", "r1").await;
    assert!(result.is_ok_and(|(status, body)| status == 200 && body.contains("id: 3\n")));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_off_never_looks_complete_to_an_old_caller() {
    // HTTP/1.0 marks the end of a body by closing the connection, so a stream that broke off
    // would look complete.
    let broken = script(&[
        Step::send(STREAM_HEAD),
        Step::Send(event_chunk(1)),
        Step::Pause(50),
        Step::Close,
    ]);
    let backend = Backend::start(&[broken]).await;
    let fleet = Fleet::start(96, &[&backend]).await;
    let answer = support::call_as_old_caller(fleet.callers(), "stream", "r1").await;
    assert!(!answer.starts_with("HTTP/1.0 200"), "{answer}");
    let whole = Reply::events(1..=3);
    let backend = Backend::start(&[whole]).await;
    let fleet = Fleet::start(97, &[&backend]).await;
    let answer = support::call_as_old_caller(fleet.callers(), "stream", "r2").await;
    assert!(answer.starts_with("HTTP/1.0 200"), "{answer}");
    assert!(answer.contains("id: 3\n"), "{answer}");
}
