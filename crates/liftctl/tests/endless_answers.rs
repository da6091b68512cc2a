//! Answers that don't end or were cut. Guards against a server in trouble that uses up the memory of
//! the operator's host, or that makes a command look done.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{fs, net, process, time};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Memory that the program may use, in megabytes.
const MAX_MEMORY_MB: u64 = 256;

/// Pause between two looks at the memory of the program.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Exit code when no server has answered.
const UNREACHABLE: i32 = 4;

/// Answers each connection with `start`, then repeats `part` until the caller closes it.
async fn server(start: String, part: &'static [u8]) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let _ = stream.write_all(start.as_bytes()).await;
            while !part.is_empty() && stream.write_all(part).await.is_ok() {}
        }
    });
    addr
}

fn liftctl(server: net::SocketAddr, args: &str) -> tokio::process::Command {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_liftctl"));
    command.args(["--server", &format!("http://{server}")]);
    command.args(args.split(' '));
    command.stdout(process::Stdio::null());
    command.stderr(process::Stdio::null());
    command.kill_on_drop(true);
    command
}

/// Largest memory that a process has used, in megabytes, or `None` if it has ended.
fn peak_memory_mb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes = line.trim().trim_end_matches("kB").trim();
    kilobytes.parse::<u64>().ok().map(|kb| kb / 1024)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endless_answer_leaves_the_operator_its_memory() {
    // Guards against an answer that is kept whole, however long it is, until the time for it has
    // passed (a report of other operators).
    let endless = "HTTP/1.1 200 X\r\n\r\n";
    for start in [endless, "HTTP/1.1 200 X\r\nx-more: "] {
        let addr = server(String::from(start), &[b'x'; 0x10000]).await;
        let mut child = liftctl(addr, "members").spawn().unwrap();
        let pid = child.id().unwrap();
        let code = loop {
            if let Some(status) = child.try_wait().unwrap() {
                break status.code();
            }
            let peak = peak_memory_mb(pid).unwrap_or_default();
            assert!(peak < MAX_MEMORY_MB, "{peak} MB");
            tokio::time::sleep(LOOK_INTERVAL).await;
        };
        assert_eq!(code, Some(UNREACHABLE), "{start:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_was_cut_anywhere_is_no_success() {
    // Guards against a change that is reported as done, or a list as empty, because the answer broke
    // off (a report of other operators).
    const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]";
    for length in 0..ANSWER.len() {
        let addr = server(String::from(&ANSWER[..length]), b"").await;
        let code = liftctl(addr, "members").status().await.unwrap().code();
        assert_eq!(code, Some(UNREACHABLE), "{length}");
    }
    let addr = server(String::from(ANSWER), b"").await;
    let code = liftctl(addr, "members").status().await.unwrap().code();
    assert_eq!(code, Some(0));
}
