//! Servers that accept requests and never answer. Guards against a command that waits without an
//! end, or hides that it may have taken effect.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{net, process, time};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Time within which a command must end.
const END_LIMIT: time::Duration = time::Duration::from_secs(35);

/// Exit code when no server has answered.
const UNREACHABLE: i32 = 4;

/// Answers reads with an empty policy where `reads`, and nothing else.
async fn server(reads: bool) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, reads));
        }
    });
    addr
}

async fn answer(mut stream: tokio::net::TcpStream, reads: bool) {
    let mut buf = [0; 4_096];
    let read = stream.read(&mut buf).await.unwrap_or_default();
    if reads && buf[..read].starts_with(b"GET") {
        let policy = serde_json::to_string(&lift_types::Policy::default()).unwrap();
        let length = policy.len();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{policy}");
        let _ = stream.write_all(answer.as_bytes()).await;
    }
    while stream.read(&mut buf).await.is_ok_and(|read| read > 0) {}
}

/// Runs the program at `servers`. Returns its exit code and what it told.
async fn liftctl(servers: &[net::SocketAddr], args: &str) -> (Option<i32>, String) {
    let servers: Vec<_> = servers
        .iter()
        .map(|addr| format!("http://{addr}"))
        .collect();
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_liftctl"));
    command.args(["--server", &servers.join(",")]);
    command.args(args.split(' '));
    command.stdin(process::Stdio::null()).kill_on_drop(true);
    let ended = tokio::time::timeout(END_LIMIT, command.output()).await;
    let output = ended.expect("the command goes on").unwrap();
    let told = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), told)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_no_server_answers_ends_and_is_reported_as_unknown() {
    let change = "exception add --scope workspace:depots --priority urgent --reason test";
    let three = [server(true).await, server(false).await, server(false).await];
    let (at_one, at_three) = tokio::join!(liftctl(&three[..1], change), liftctl(&three, change));
    for (code, told) in [at_one, at_three] {
        assert_eq!(code, Some(UNREACHABLE), "{told}");
        assert!(told.contains("not known whether"), "{told}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_read_ends_where_no_server_answers_and_finds_the_one_that_does() {
    let silent = [
        server(false).await,
        server(false).await,
        server(false).await,
    ];
    let late = [silent[0], silent[1], server(true).await];
    let (none, one) = tokio::join!(
        liftctl(&silent, "policy show"),
        liftctl(&late, "policy show")
    );
    assert_eq!(none.0, Some(UNREACHABLE), "{}", none.1);
    assert_eq!(one.0, Some(0), "{}", one.1);
}
