//! Answers of backend servers, engines and origins that don't end. Guards against a server in trouble that uses up
//! the memory of the host.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{net, time};

use lift_border::Backend as _;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Time in which a call must have ended. The bound of bytes is reached long before.
const LIMIT: time::Duration = time::Duration::from_secs(20);

/// Answers each connection with `start` and then repeats `part` until the caller closes it.
async fn endless_server(start: &'static str, part: String) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let _ = stream.write_all(start.as_bytes()).await;
            while stream.write_all(part.as_bytes()).await.is_ok() {}
        }
    });
    addr
}

async fn is_refused(start: &'static str, part: String) -> bool {
    let addr = endless_server(start, part).await;
    let client = lift_border::HttpClient::new(&format!("http://{addr}"), None);
    let req = client.request(http::Method::GET, "/weights");
    let sending = client.send(req, bytes::Bytes::new());
    let sent = tokio::time::timeout(LIMIT, sending).await;
    sent.is_ok_and(|sent| sent.is_err())
}

#[tokio::test]
async fn an_endless_body_is_refused_at_a_bound() {
    let head = "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
    assert!(is_refused(head, chunk).await);
    let until_closed = "HTTP/1.1 200 X\r\n\r\n";
    assert!(is_refused(until_closed, "x".repeat(0x10000)).await);
}

#[tokio::test]
async fn an_endless_head_is_refused_at_a_bound() {
    let part = String::from("x-more: 0123456789012345678901234567890123456789\r\n");
    assert!(is_refused("HTTP/1.1 200 X\r\n", part).await);
}

#[tokio::test]
async fn a_backend_server_may_not_send_a_head_of_any_length() {
    // Guards against heads of some 250 KiB that were kept for each of hundreds of calls at once.
    let call = lift_border::BackendCall {
        id: String::from("1-1-1"),
        method: String::from("POST"),
        path: String::from("/chat"),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
        version: None,
        priority: lift_types::Priority::Normal,
        time_left: LIMIT,
        resume_from: 0,
    };
    let start = "HTTP/1.1 200 X\r\nx-lift-request-id: 1-1-1\r\nx-more: ";
    let rest = format!("{}\r\ncontent-length: 0\r\n\r\n", "x".repeat(0x20000));
    let addr = endless_server(start, rest).await;
    let backend = lift_border::HttpBackend::new(addr, lift_border::EchoCheck::Required);
    let error = backend.submit(call).await.unwrap_err();
    let broken = lift_border::BackendError::Broken;
    assert_eq!(*error.current_context(), broken);
}
