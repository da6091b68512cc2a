//! Guards against a control member that ends for good when its disk was full for a while. Runs
//! three `marjoramlift` binaries on loopback.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::{io, net, thread, time};

use support::trio;

/// How long each disk is full.
const FULL: time::Duration = time::Duration::from_secs(2);

/// Pause until the next disk is full.
const PAUSE: time::Duration = time::Duration::from_secs(3);

/// Time within which a change must be answered.
const ANSWER_LIMIT: time::Duration = time::Duration::from_secs(6);

/// Longest wait for the cluster to answer after its start or a fault.
const START_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Makes a change of the policy in force. Returns the status of the answer.
fn change(admin: net::SocketAddr, id: &str) -> io::Result<u16> {
    let (status, policy) = support::request(admin, "GET", "/v1/policy", "", ANSWER_LIMIT)?;
    if status != 200 {
        return Ok(status);
    }
    let policy: serde_json::Value = serde_json::from_str(&policy)?;
    let revision = policy["revision"].as_u64().unwrap_or_default();
    let default = serde_json::json!({
        "version": null, "activation_floor_percent": 50, "transfer_goal": "time",
        "limits": {"weight": 1, "rate_per_s": 1000, "burst": 100 + revision, "max_queued": 10},
        "services": {"ledger": {"kind": "plain", "methods": {"lookup": "idempotent"}}}
    });
    let body = serde_json::json!({
        "id": id, "expected": revision, "author": "test", "reason": "test",
        "edits": [{"set_default": default}]
    });
    let body = body.to_string();
    support::request(admin, "POST", "/v1/changes", &body, ANSWER_LIMIT).map(|answer| answer.0)
}

fn revision(admin: net::SocketAddr) -> u64 {
    let (_, policy) = support::try_get(admin, "/v1/policy", "").unwrap();
    let policy: serde_json::Value = serde_json::from_str(&policy).unwrap();
    policy["revision"].as_u64().unwrap()
}

/// Makes changes at all nodes in turn for `limit`. Returns how many were acknowledged.
fn change_for(admins: &[net::SocketAddr], name: &str, limit: time::Duration) -> u64 {
    let until = time::Instant::now() + limit;
    let mut acknowledged = 0;
    for number in 0.. {
        if time::Instant::now() >= until {
            break;
        }
        let admin = admins[number % admins.len()];
        acknowledged += u64::from(change(admin, &format!("{name}-{number}")).ok() == Some(200));
        thread::sleep(time::Duration::from_millis(50));
    }
    acknowledged
}

fn wait_for_change(admin: net::SocketAddr, name: &str) {
    let until = time::Instant::now() + START_LIMIT;
    let mut number = 0;
    while change(admin, &format!("{name}-{number}")).ok() != Some(200) {
        assert!(time::Instant::now() < until, "no change is acknowledged");
        number += 1;
        thread::sleep(time::Duration::from_millis(100));
    }
}

/// Makes a change through an entry that may not know the newest policy yet.
fn is_acknowledged_in_time(admin: net::SocketAddr, name: &str) -> bool {
    let until = time::Instant::now() + ANSWER_LIMIT;
    for number in 0.. {
        match change(admin, &format!("{name}-{number}")) {
            Ok(409) if time::Instant::now() < until => {}
            answer => return answer.is_ok_and(|status| status == 200),
        }
    }
    false
}

fn assert_changes_acknowledged(trio: &mut trio::Trio, acknowledged: u64) {
    assert!(trio.all_run());
    let admins = trio.admins.iter().cycle().enumerate().take(10);
    let lost = admins
        .filter(|(i, admin)| !is_acknowledged_in_time(**admin, &format!("after-{i}")))
        .count();
    assert_eq!(lost, 0, "changes of 10 that were not acknowledged in time");
    assert!(revision(trio.admins[0]) >= acknowledged + 10);
}

#[test]
fn changes_go_on_after_each_disk_was_full_in_turn() {
    let mut trio = trio::Trio::start();
    wait_for_change(trio.admins[0], "start");
    let mut acknowledged = 1;
    for node in 0..3 {
        trio.set_disk_full(node, true);
        acknowledged += change_for(&trio.admins, &format!("full-{node}"), FULL);
        trio.set_disk_full(node, false);
        acknowledged += change_for(&trio.admins, &format!("free-{node}"), PAUSE);
    }
    println!("{acknowledged} changes acknowledged meanwhile");
    thread::sleep(PAUSE);
    assert_changes_acknowledged(&mut trio, acknowledged);
}

#[test]
fn members_that_start_on_a_full_disk_take_part_once_it_has_room() {
    let mut trio = trio::Trio::start();
    wait_for_change(trio.admins[0], "start");
    let mut acknowledged = 1;
    for node in 0..2 {
        trio.restart_on_full_disk(node);
        acknowledged += change_for(&trio.admins, &format!("full-{node}"), FULL);
        trio.set_disk_full(node, false);
        wait_for_change(trio.admins[node], &format!("restarted-{node}"));
    }
    thread::sleep(PAUSE);
    assert_changes_acknowledged(&mut trio, acknowledged + 2);
}
