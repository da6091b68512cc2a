//! Guards against a stop that cuts off a request in progress, takes new work, hangs, or
//! can't be forced. Runs the `marjoramlift` binary with all roles on loopback.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::{io, process, thread, time};

/// Longest wait for a step.
const LIMIT: time::Duration = time::Duration::from_secs(20);

/// Rate at which a slow caller reads.
const SLOW_BYTES_PER_S: u32 = 1_500_000;

/// Sends a signal to a child of this test.
fn signal(child: &process::Child, name: &str) {
    let pid = child.id().to_string();
    let status = process::Command::new("kill").args([name, &pid]).status();
    assert!(status.unwrap().success());
}

/// Waits for the child's exit code.
fn exit_code(child: &mut process::Child) -> Option<i32> {
    let until = time::Instant::now() + LIMIT;
    while time::Instant::now() < until {
        if let Some(status) = child.try_wait().unwrap() {
            return status.code();
        }
        thread::sleep(time::Duration::from_millis(10));
    }
    let _ = child.kill();
    None
}

/// Reads an answer as over a narrow link. Returns the number of bytes.
fn read_slowly(mut answer: impl io::Read) -> usize {
    let mut read = 0;
    let mut buf = vec![0; 64 * 1024];
    while let Ok(length @ 1..) = answer.read(&mut buf) {
        read += length;
        thread::sleep(time::Duration::from_secs(length as u64) / SLOW_BYTES_PER_S);
    }
    read
}

#[test]
fn sigterm_finishes_the_request_in_progress() {
    let mut node = support::Node::start(time::Duration::from_millis(1_500));
    let caller = node.caller;
    let slow = thread::spawn(move || support::get(caller, "/v1/ledger/slow", "slow"));
    thread::sleep(time::Duration::from_millis(300));
    let started = time::Instant::now();
    signal(&node.child, "-TERM");
    thread::sleep(time::Duration::from_millis(300));

    let (status, body) = support::get(node.caller, "/v1/ledger/lookup", "new");
    assert_eq!(status, 503, "{body}");
    assert!(
        body.contains("not_run") && body.contains("draining"),
        "{body}"
    );
    assert_eq!(support::get(node.caller, "/ready", "").0, 503);

    let (status, body) = slow.join().unwrap();
    assert_eq!((status, body.as_str()), (200, "answer to slow"));
    assert_eq!(exit_code(&mut node.child), Some(0));
    assert!(
        started.elapsed() < support::GRACE,
        "{:?}",
        started.elapsed()
    );
}

#[test]
fn a_repeated_sigterm_cuts_off_no_request() {
    let mut node = support::Node::start(time::Duration::from_millis(1_500));
    let caller = node.caller;
    let slow = thread::spawn(move || support::try_get(caller, "/v1/ledger/slow", "slow"));
    thread::sleep(time::Duration::from_millis(300));
    for _ in 0..3 {
        signal(&node.child, "-TERM");
        thread::sleep(time::Duration::from_millis(200));
    }
    let (status, body) = slow.join().unwrap().unwrap();
    assert_eq!((status, body.as_str()), (200, "answer to slow"));
    assert_eq!(exit_code(&mut node.child), Some(0));
}

#[test]
fn a_stop_passes_whole_answers_on_to_slow_callers_behind_tls() {
    let mut node = support::Node::start_with_tls();
    let answer = node.send_get("/v1/ledger/large", "x").unwrap();
    let slow = thread::spawn(move || read_slowly(answer));
    thread::sleep(time::Duration::from_millis(500));
    signal(&node.child, "-TERM");
    assert!(slow.join().unwrap() > support::LARGE_BYTES);
    assert_eq!(exit_code(&mut node.child), Some(0));
}

#[test]
fn a_hangup_ends_neither_a_node_nor_its_requests() {
    let mut node = support::Node::start(time::Duration::from_millis(1_000));
    let caller = node.caller;
    let slow = thread::spawn(move || support::try_get(caller, "/v1/ledger/slow", "slow"));
    thread::sleep(time::Duration::from_millis(300));
    signal(&node.child, "-HUP");
    let (status, body) = slow.join().unwrap().unwrap();
    assert_eq!((status, body.as_str()), (200, "answer to slow"));
    assert!(node.child.try_wait().unwrap().is_none(), "still runs");
}

#[test]
fn an_interrupt_during_a_stop_ends_at_once() {
    for first in ["-INT", "-TERM"] {
        let mut node = support::Node::start(time::Duration::from_secs(8));
        let caller = node.caller;
        let slow = thread::spawn(move || support::try_get(caller, "/v1/ledger/slow", "slow"));
        thread::sleep(time::Duration::from_millis(300));
        let started = time::Instant::now();
        signal(&node.child, first);
        thread::sleep(time::Duration::from_millis(300));
        assert!(node.child.try_wait().unwrap().is_none(), "still drains");
        signal(&node.child, "-INT");
        let code = exit_code(&mut node.child);
        assert!(code.is_some_and(|code| code != 0), "{code:?}");
        assert!(started.elapsed() < time::Duration::from_secs(3));
        assert!(slow.join().unwrap().is_err());
    }
}
