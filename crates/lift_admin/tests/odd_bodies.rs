//! Odd bodies of requests to the administration API.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::{fs, net};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

async fn post(addr: net::SocketAddr, path: &str, token: &str, body: &[u8]) -> u16 {
    let mut stream = tokio::net::TcpStream::connect(addr).await.unwrap();
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {token}\r\n\
        content-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

#[tokio::test]
async fn odd_bodies_are_refused_and_end_nothing() {
    // Guards against one odd body that ends the process of an entry.
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("tokens.json");
    let (token, record) =
        lift_admin::TokenRecord::generate("anna", lift_admin::TokenRole::Operator);
    let tokens = vec![record];
    fs::write(
        &file,
        serde_json::to_vec(&lift_admin::TokenList { tokens }).unwrap(),
    )
    .unwrap();
    let control = support::FakeControl::new();
    let builder = support::builder(&control).token_file(file);
    let admin = builder.start(support::any_port()).await.unwrap();
    let nested = "[".repeat(100_000);
    let objects = "{\"edits\":".repeat(100_000);
    let hash = "0f".repeat(32);
    let manifest = |length: &str, chunk_size: &str| {
        format!(
            "{{\"version\":\"v1\",\"length\":{length},\"chunk_size\":{chunk_size},\
            \"chunks\":[\"{hash}\"],\"whole\":\"{hash}\"}}"
        )
    };
    let odd = [
        nested.clone(),
        objects,
        format!("{{\"edits\":{nested}"),
        format!("{{\"chunks\":{nested}"),
        manifest("18446744073709551615", "4194304"),
        manifest("18446744073709551616", "4194304"),
        manifest("1", "0"),
        manifest("-1", "1"),
        manifest("1e999", "1"),
    ];
    for path in ["/v1/changes", "/v1/versions", "/v1/control/members"] {
        for body in &odd {
            let status = post(admin.addr(), path, &token, body.as_bytes()).await;
            let start: String = body.chars().take(80).collect();
            assert!((400..500).contains(&status), "{path}: {status} to {start}");
        }
        let status = post(admin.addr(), path, &token, &[0xff; 64]).await;
        assert!((400..500).contains(&status), "{path}: {status}");
    }
    assert_eq!(control.changes(), 0);
    let sound = manifest("1", "1");
    assert_eq!(
        post(admin.addr(), "/v1/versions", &token, sound.as_bytes()).await,
        204
    );
}
