//! Streams that break off, and answers that do not continue them.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use support::{Backend, Fleet, Reply, Step};

/// Head of a stream in chunks.
const HEAD: &str = "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: 1\r\nx-weights: 1\r\n\
    content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// Head of a stream that ends with its connection.
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: 1\r\nx-weights: 1\r\n\
    content-type: text/event-stream\r\n\r\n";

/// A head that is not one, since it is in the middle of an answer.
const ERROR_ANSWER: &str = "HTTP/1.1 500 X\r\ncontent-length: 6\r\n\r\nfailed";

/// The chunk after the last one.
const LAST_CHUNK: &str = "0\r\n\r\n";

fn event(number: u64) -> String {
    format!("id: {number}\ndata: word\n\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Sends events 1 and 2, and breaks off.
fn broken() -> Reply {
    let events = chunk(&format!("{}{}", event(1), event(2)));
    Reply::Script(vec![
        Step::send(HEAD),
        Step::Send(events),
        Step::Pause(100),
        Step::Close,
    ])
}

fn stream(content_type: &str, weights: &str, body: &str) -> Reply {
    Reply::ok(body)
        .header("content-type", content_type)
        .header("x-weights", weights)
}

fn script(head: &str, body: &str) -> Reply {
    Reply::Script(vec![Step::send(head), Step::send(body), Step::Close])
}

/// Calls a stream that breaks off at one server and goes on with `next` at another one. Returns
/// all bytes of the answer.
async fn call_broken(subnet: u8, first: Reply, next: Reply) -> String {
    let first = Backend::start(&[first]).await;
    let second = Backend::start(&[next]).await;
    let fleet = Fleet::start(subnet, &[&first, &second]).await;
    let calling = support::call_raw(fleet.callers(), "stream", "r1");
    let answer = fleet.prefer(&first, &second, calling).await;
    assert_eq!(second.received().len(), 1, "{answer}");
    answer
}

fn is_complete(answer: &str) -> bool {
    answer.ends_with(LAST_CHUNK)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_off_goes_on_at_another_server() {
    let next = stream("text/event-stream", "1", &event(3));
    let answer = call_broken(104, broken(), next).await;
    assert!(
        answer.contains("id: 3\n") && is_complete(&answer),
        "{answer}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_but_its_continuation_follows_a_stream_that_broke_off() {
    let sse = "text/event-stream";
    let failed_event = "id: 3\ndata: failed\n\n";
    let in_chunk = format!("{}{ERROR_ANSWER}", chunk(&event(3)));
    let others = [
        ("500", Reply::status(500).header("content-type", sse)),
        ("503", Reply::status(503)),
        ("404", Reply::status(404)),
        ("page", stream("text/html", "1", "<p>failed</p>\n\n")),
        ("other type", stream("text/plain", "1", failed_event)),
        ("other weights", stream(sse, "2", failed_event)),
        (
            "unknown weights",
            Reply::ok(failed_event).header("content-type", sse),
        ),
        (
            "replay",
            stream(sse, "1", &format!("{}{failed_event}", event(2))),
        ),
        ("gap", stream(sse, "1", "id: 4\ndata: failed\n\n")),
        ("no event", stream(sse, "1", "")),
        ("comment", stream(sse, "1", ": failed\n\n")),
        ("head in the body", stream(sse, "1", ERROR_ANSWER)),
        ("head in the chunks", script(HEAD, &in_chunk)),
        (
            "head at the end",
            script(UNFRAMED_HEAD, &format!("{}{ERROR_ANSWER}", event(3))),
        ),
        ("end at once", script(UNFRAMED_HEAD, "")),
    ];
    let mut accepted = Vec::new();
    for (i, (name, other)) in others.into_iter().enumerate() {
        let answer = call_broken(105 + i as u8, broken(), other).await;
        assert!(answer.contains("id: 2\n"), "{name}: {answer}");
        if answer.contains("failed") || is_complete(&answer) {
            accepted.push(name);
        }
    }
    assert_eq!(accepted, [""; 0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_with_its_connection_before_its_first_event_is_not_complete() {
    let next = stream("text/event-stream", "1", &event(1));
    let answer = call_broken(120, script_after_pause(""), next).await;
    assert!(
        answer.contains("id: 1\n") && is_complete(&answer),
        "{answer}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_with_its_connection_is_complete_unless_that_is_reset() {
    let whole = format!("{}{}", event(1), event(2));
    for (i, (end, is_whole)) in [(Step::Close, true), (Step::Reset, false)]
        .into_iter()
        .enumerate()
    {
        let steps = [
            Step::send(UNFRAMED_HEAD),
            Step::send(&whole),
            Step::Pause(50),
            end,
        ];
        let backend = Backend::start(&[Reply::Script(steps.to_vec())]).await;
        let fleet = Fleet::start(121 + i as u8, &[&backend]).await;
        let answer = support::call_raw(fleet.callers(), "stream", "r1").await;
        assert!(answer.contains("id: 2\n"), "{answer}");
        assert_eq!(is_complete(&answer), is_whole, "{answer}");
    }
}

/// Sends the head of an answer without a length, and the body after a pause.
fn script_after_pause(body: &str) -> Reply {
    Reply::Script(vec![
        Step::send(UNFRAMED_HEAD),
        Step::Pause(100),
        Step::send(body),
        Step::Close,
    ])
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_is_forwarded_unless_its_connection_is_reset() {
    let head = "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: 1\r\n\r\nword";
    for (i, (end, expected)) in [(Step::Close, 200), (Step::Reset, 502)]
        .into_iter()
        .enumerate()
    {
        let steps = vec![Step::send(head), Step::Pause(50), end];
        let backend = Backend::start(&[Reply::Script(steps)]).await;
        let fleet = Fleet::start(124 + i as u8, &[&backend]).await;
        let (status, body) = fleet.call("non_idempotent", "r1").await;
        assert_eq!(status, expected, "{body}");
        assert_eq!(body.contains("word"), expected == 200, "{body}");
    }
}
