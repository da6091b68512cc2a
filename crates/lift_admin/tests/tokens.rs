//! Guards against requests without a valid token, viewers that change things, and tokens
//! that outlive their removal until a restart.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::{fs, net, path};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

fn write(file: &path::Path, records: &[&lift_admin::TokenRecord]) {
    let tokens = records.iter().map(|&record| record.clone()).collect();
    let list = lift_admin::TokenList { tokens };
    fs::write(file, serde_json::to_vec(&list).unwrap()).unwrap();
}

async fn status(addr: net::SocketAddr, request: &str, token: &str) -> u16 {
    let mut stream = tokio::net::TcpStream::connect(addr).await.unwrap();
    let head = format!("{request} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n");
    let head = format!("{head}authorization: Bearer {token}\r\ncontent-length: 0\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

#[tokio::test]
async fn roles_and_rotation() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("tokens.json");
    let (viewer, viewer_record) =
        lift_admin::TokenRecord::generate("monitor", lift_admin::TokenRole::Viewer);
    let (operator, operator_record) =
        lift_admin::TokenRecord::generate("anna", lift_admin::TokenRole::Operator);
    write(&file, &[&viewer_record, &operator_record]);
    let builder = support::builder(&support::FakeControl::new()).token_file(file.clone());
    let admin = builder.start(support::any_port()).await.unwrap();

    let (read, drain) = ("GET /v1/members", "POST /v1/members/1/drain");
    let cases = [
        (read, "", 401),
        (read, "guess", 401),
        (read, viewer.as_str(), 200),
        (drain, "guess", 401),
        (drain, viewer.as_str(), 403),
        (drain, operator.as_str(), 204),
        ("POST /v1/members/9/drain", operator.as_str(), 404),
    ];
    for (request, token, expected) in cases {
        assert_eq!(
            status(admin.addr(), request, token).await,
            expected,
            "{request}"
        );
    }

    let (next, next_record) =
        lift_admin::TokenRecord::generate("anna-2", lift_admin::TokenRole::Operator);
    write(&file, &[&viewer_record, &operator_record, &next_record]);
    assert_eq!(status(admin.addr(), drain, &next).await, 204);
    assert_eq!(status(admin.addr(), drain, &operator).await, 204);
    write(&file, &[&viewer_record, &next_record]);
    assert_eq!(status(admin.addr(), drain, &operator).await, 401);
    assert_eq!(status(admin.addr(), drain, &next).await, 204);

    fs::write(&file, "{\"tokens\": [").unwrap();
    assert_eq!(status(admin.addr(), drain, &next).await, 204, "half a file");
}

/// Guards against an administration API that is open to the network.
#[tokio::test]
async fn without_tokens_only_loopback() {
    let builder = support::builder(&support::FakeControl::new());
    let addr = net::SocketAddr::from(([0, 0, 0, 0], 0));
    let error = builder.start(addr).await.unwrap_err();
    let expected = &lift_admin::AdminError::OpenWithoutTokens;
    assert_eq!(error.current_context(), expected);
}
