//! Guards the proof that a request was not sent, and the checks of answers over HTTP.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{net, time};

use futures_util::StreamExt as _;
use lift_border::{Backend as _, BackendError, EchoCheck, HttpBackend};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

fn call() -> lift_border::BackendCall {
    lift_border::BackendCall {
        id: String::from("1-1-1"),
        method: String::from("POST"),
        path: String::from("/chat"),
        headers: Vec::new(),
        body: bytes::Bytes::from_static(b"plan"),
        version: Some(String::from("v1")),
        priority: lift_types::Priority::Normal,
        time_left: time::Duration::from_millis(500),
        resume_from: 0,
    }
}

/// Answers each connection with `answer` after it has read something, then closes it.
async fn server(answer: &'static str) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = [0; 4_096];
            let _ = stream.read(&mut buf).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    addr
}

async fn failure(addr: net::SocketAddr) -> BackendError {
    let backend = HttpBackend::new(addr, EchoCheck::Required);
    match backend.submit(call()).await {
        Err(e) => e.current_context().clone(),
        Ok(answer) => {
            let mut body = answer.body;
            while let Some(part) = body.next().await {
                if let Err(e) = part {
                    return e;
                }
            }
            panic!("the answer passed for a whole one")
        }
    }
}

#[tokio::test]
async fn only_a_refused_connection_proves_that_nothing_was_sent() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(failure(closed).await, BackendError::NotSent);
    assert_eq!(failure(server("").await).await, BackendError::Broken);
}

/// Reads one request, stops to listen, and closes the connection after `answer`.
async fn ending_server(answer: &'static str) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf).await;
        let _ = stream.write_all(answer.as_bytes()).await;
        drop(listener);
    });
    addr
}

#[tokio::test]
async fn the_end_of_a_backend_server_is_not_taken_for_a_broken_connection() {
    let cut = "HTTP/1.1 200 OK\r\nx-lift-request-id: 1-1-1\r\nx-lift-version: v1\r\n\
               content-length: 10\r\n\r\nabc";
    for answer in ["", "HTTP/1.1 200 OK\r\nx-lift", cut] {
        let found = failure(ending_server(answer).await).await;
        assert_eq!(found, BackendError::Ended, "{answer}");
    }
}

#[tokio::test]
async fn a_crossed_wrong_or_cut_answer_is_an_error() {
    let crossed = "HTTP/1.1 200 OK\r\nx-lift-request-id: 1-1-2\r\ncontent-length: 0\r\n\r\n";
    let found = failure(server(crossed).await).await;
    assert!(matches!(found, BackendError::Crossed { .. }));
    let silent = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let found = failure(server(silent).await).await;
    assert!(matches!(found, BackendError::Crossed { .. }));
    let other = "HTTP/1.1 200 OK\r\nx-lift-request-id: 1-1-1\r\nx-lift-version: v2\r\n\
                 content-length: 0\r\n\r\n";
    let found = failure(server(other).await).await;
    assert!(matches!(found, BackendError::WrongVersion { .. }));
    let cut = "HTTP/1.1 200 OK\r\nx-lift-request-id: 1-1-1\r\nx-lift-version: v1\r\n\
               content-length: 10\r\n\r\nabc";
    assert_eq!(failure(server(cut).await).await, BackendError::Truncated);
    let chunked = "HTTP/1.1 200 OK\r\nx-lift-request-id: 1-1-1\r\nx-lift-version: v1\r\n\
                   transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";
    let found = failure(server(chunked).await).await;
    assert_eq!(found, BackendError::Truncated);
}

#[tokio::test]
async fn a_backend_server_that_never_answers_runs_into_the_deadline() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    assert_eq!(failure(addr).await, BackendError::Timeout);
}

/// Answers the first request of each connection, and any later one with an earlier refusal.
async fn repeating_server() -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let answer = "HTTP/1.1 200 OK\r\nx-lift-version: v1\r\ncontent-length: 4\r\n\r\nword";
    let refusal = "HTTP/1.1 503 X\r\nx-lift-version: v1\r\ncontent-length: 4\r\n\r\nfull";
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 4_096];
                let answers = std::iter::once(answer).chain(std::iter::repeat(refusal));
                for answer in answers {
                    if !matches!(stream.read(&mut buf).await, Ok(read) if read > 0) {
                        return;
                    }
                    stream.write_all(answer.as_bytes()).await.unwrap();
                }
            });
        }
    });
    addr
}

#[tokio::test]
async fn an_earlier_refusal_without_an_identifier_is_not_the_answer_to_the_next_request() {
    let backend = HttpBackend::new(repeating_server().await, EchoCheck::WhenPresent);
    for _ in 0..3 {
        let mut answer = backend.submit(call()).await.unwrap();
        assert_eq!(answer.head.status, 200);
        while let Some(part) = answer.body.next().await {
            assert_eq!(part.unwrap().as_ref(), b"word");
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn an_answer_that_was_cut_anywhere_in_its_head_is_an_error() {
    // Guards against a success with an empty or short body that looks whole (a report of other
    // operators), at agents and at the clients of engines and of the origin.
    const HEADS: [&str; 2] = [
        "HTTP/1.1 200 OK\r\nx-lift-request-id: 1-1-1\r\nx-lift-version: v1\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-lift-request-id: 1-1-1\r\n\r\n",
    ];
    for head in HEADS {
        for length in 1..head.len() {
            let addr = server(&head[..length]).await;
            assert_eq!(failure(addr).await, BackendError::Broken, "{length}");
            let client = lift_border::HttpClient::new(&format!("http://{addr}"), None);
            let req = client.request(http::Method::GET, "/weights");
            let sent = client.send(req, bytes::Bytes::new()).await;
            assert!(sent.is_err(), "{length}");
        }
    }
}
