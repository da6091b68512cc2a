//! Streams that break off, and agents whose answers do not continue them.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod fleet;
mod scripted_agent;

use std::{sync, time};

use lift_wire::AnswerMessage;

/// Body bytes before the stream breaks off.
const FIRST_PART: &str = "four ";

/// An answer, or the rest of one.
#[derive(Clone, Copy)]
struct Answer {
    status: u16,
    media_type: &'static str,
    version: &'static str,
    length: Option<u64>,
    body: &'static str,
}

/// What continues the stream.
const REST: Answer = Answer {
    status: 200,
    media_type: "text/plain",
    version: "v1",
    length: None,
    body: "tons",
};

fn head(id: u64, answer: Answer) -> AnswerMessage {
    let media_type = (
        String::from("content-type"),
        String::from(answer.media_type),
    );
    AnswerMessage::Head {
        id,
        status: answer.status,
        headers: vec![media_type],
        version: Some(String::from(answer.version)),
        length: answer.length,
    }
}

fn data(id: u64, text: &'static str) -> AnswerMessage {
    AnswerMessage::Data {
        id,
        sequence: 0,
        bytes: bytes::Bytes::from_static(text.as_bytes()),
    }
}

/// Answers a call. The first agent breaks off and any other one goes on with `rest`.
fn answer(call: &lift_wire::Call, length: Option<u64>, rest: Answer) -> Vec<AnswerMessage> {
    let id = call.id;
    if call.resume_from == 0 {
        let failure = lift_wire::CallFailure::Broken;
        let broken = AnswerMessage::Failed { id, failure };
        return vec![
            head(id, Answer { length, ..REST }),
            data(id, FIRST_PART),
            broken,
        ];
    }
    let total = rest.body.len() as u64;
    let count = u32::from(total > 0);
    let parts = (total > 0).then(|| data(id, rest.body));
    let end = AnswerMessage::End { id, total, count };
    std::iter::once(head(id, rest))
        .chain(parts)
        .chain([end])
        .collect()
}

/// Calls a stream of `length` bytes that breaks off, and goes on with `rest`.
async fn call(length: Option<u64>, rest: Answer) -> fleet::Reply {
    let fleet = fleet::Fleet::start(1).await;
    for host in 1..=2 {
        let agent = scripted_agent::ScriptedAgent {
            host,
            service: "assistant",
            version: Some("v1"),
            pause: time::Duration::from_millis(20),
            script: sync::Arc::new(move |call| answer(call, length, rest)),
        };
        agent.start(&fleet).await;
    }
    fleet.wait_for_agents(2).await;
    let headers = [("x-lift-deadline-ms", "1500")];
    fleet.call(0, "/v1/assistant/chat", &headers).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_breaks_off_goes_on_at_another_agent() {
    for length in [None, Some(9)] {
        let reply = call(length, REST).await;
        assert_eq!(reply.body.as_deref(), Some("four tons"), "{length:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_but_its_continuation_follows_a_stream_that_broke_off() {
    let others = [
        (
            "500",
            None,
            Answer {
                status: 500,
                ..REST
            },
        ),
        (
            "503",
            None,
            Answer {
                status: 503,
                ..REST
            },
        ),
        (
            "404",
            None,
            Answer {
                status: 404,
                ..REST
            },
        ),
        (
            "other type",
            None,
            Answer {
                media_type: "text/html",
                ..REST
            },
        ),
        (
            "other version",
            None,
            Answer {
                version: "v2",
                ..REST
            },
        ),
        ("nothing", None, Answer { body: "", ..REST }),
        ("too short", Some(9), Answer { body: "to", ..REST }),
        (
            "too long",
            Some(9),
            Answer {
                body: "four tons",
                ..REST
            },
        ),
        (
            "other length",
            Some(9),
            Answer {
                length: Some(3),
                body: "ton",
                ..REST
            },
        ),
    ];
    let mut accepted = Vec::new();
    for (name, length, other) in others {
        let reply = call(length, other).await;
        assert_eq!(reply.status, 200, "{name}");
        if reply.body.is_some() {
            accepted.push(name);
        }
    }
    assert_eq!(accepted, [""; 0]);
}
