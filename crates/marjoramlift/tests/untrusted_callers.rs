//! Guards against callers that make a process run out of memory or descriptors, and so end it or
//! keep it from answering others. Runs the `marjoramlift` binary on loopback.
//!
//! The bounds are the memory and the descriptors of the smallest hosts of each role in
//! `docs/design/hard-load.md`. No time and no share of served requests is checked.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::{net, process, sync, time};

use support::{crowd, footprint, small_fleet};

/// Host of a gateway.
const GATEWAY: footprint::Bounds = footprint::Bounds {
    memory_mb: 160,
    descriptors: 4_100,
};

/// Host of a gateway, of whose descriptors a listener that isn't for callers may use a tenth.
const GATEWAY_ASIDE: footprint::Bounds = footprint::Bounds {
    memory_mb: 160,
    descriptors: 410,
};

/// Host of a control member, of whose descriptors three quarters are for its log, its feed and
/// its files.
const CONTROL: footprint::Bounds = footprint::Bounds {
    memory_mb: 256,
    descriptors: 1_024,
};

/// Smallest host, for `marjoramlift run`, which has none of its own on the page.
const RUN: footprint::Bounds = footprint::Bounds {
    memory_mb: 128,
    descriptors: 2_048,
};

/// Callers that send large bodies. At 4 MiB each they hold more than any host has.
const LARGE: usize = 64;

/// Connections that cost little each.
const MANY: usize = 600;

/// Longest piece of a head, in bytes: less than the HTTP library accepts by itself.
const HEAD_BYTES: usize = 380_000;

const BODY_BYTES: usize = small_fleet::BODY_BYTES;

const MIB: usize = 1024 * 1024;

/// One test runs at a time, apart from the load of the others.
fn lock() -> sync::MutexGuard<'static, ()> {
    static LOCK: sync::Mutex<()> = sync::Mutex::new(());
    LOCK.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Checks a process under a crowd, after it has left, and with an ordinary request.
fn check(
    what: &str,
    child: &mut process::Child,
    bounds: footprint::Bounds,
    crowd: crowd::Crowd,
    is_sound: impl FnMut() -> bool,
) {
    footprint::settle(child);
    footprint::check(what, child, bounds);
    drop(crowd);
    footprint::check_release(what, child, bounds);
    small_fleet::wait(what, is_sound);
    footprint::check(what, child, bounds);
}

/// Plays callers of a gateway.
fn check_callers(what: &str, count: usize, load: crowd::Load) {
    let _one = lock();
    let mut fleet = small_fleet::SmallFleet::start();
    let head = |number| small_fleet::caller_head("POST", "/do/x", number);
    let crowd = crowd::Crowd::gather(small_fleet::callers(), count, load, head);
    let gateway = &mut fleet.gateway;
    check(what, gateway, GATEWAY, crowd, small_fleet::answers);
}

/// Plays callers of another listener of a gateway.
fn check_aside(what: &str, address: net::SocketAddr, load: crowd::Load) {
    let _one = lock();
    let mut fleet = small_fleet::SmallFleet::start();
    let head = |_| small_fleet::plain_head("GET", "/");
    let crowd = crowd::Crowd::gather(address, MANY, load, head);
    let is_sound = || small_fleet::answers() && small_fleet::is_answered(address, &head(0), "");
    let gateway = &mut fleet.gateway;
    check(what, gateway, GATEWAY_ASIDE, crowd, is_sound);
}

/// Plays callers of the control listener.
fn check_control(what: &str, path: &str, count: usize, load: crowd::Load) {
    let _one = lock();
    let mut fleet = small_fleet::SmallFleet::start();
    let head = |_| small_fleet::plain_head("POST", path);
    let crowd = crowd::Crowd::gather(small_fleet::control_listener(), count, load, head);
    let read = small_fleet::plain_head("GET", lift_peer::paths::DOCUMENT);
    let is_sound = || small_fleet::is_answered(small_fleet::control_listener(), &read, "");
    check(what, &mut fleet.control, CONTROL, crowd, is_sound);
}

/// Plays callers of a listener of `marjoramlift run`, which `address` chooses.
fn check_run(
    what: &str,
    address: impl Fn(&support::Node) -> net::SocketAddr,
    path: &str,
    count: usize,
    load: crowd::Load,
) {
    let _one = lock();
    let mut node = support::Node::start(time::Duration::ZERO);
    let method = match load {
        crowd::Load::SlowReader => "GET",
        _ => "POST",
    };
    let head = |_| {
        let head = small_fleet::plain_head(method, path);
        format!("{head}content-type: application/json\r\nx-lift-workspace: test\r\n")
    };
    let crowd = match load {
        crowd::Load::SlowReader => crowd::Crowd::queue(address(&node), count, load, head),
        _ => crowd::Crowd::gather(address(&node), count, load, head),
    };
    let caller = node.caller;
    let is_sound = || support::try_get(caller, "/v1/ledger/lookup", "x").is_ok_and(|r| r.0 == 200);
    check(what, &mut node.child, RUN, crowd, is_sound);
}

#[test]
fn gateway_survives_bodies_that_stop_before_their_end() {
    check_callers("short bodies", LARGE, crowd::Load::Short(BODY_BYTES));
}

#[test]
fn gateway_survives_bodies_in_pieces_that_stop_before_their_end() {
    check_callers("pieces", LARGE, crowd::Load::ShortPieces(BODY_BYTES));
}

#[test]
fn gateway_survives_bodies_in_large_chunks_without_an_end() {
    let load = crowd::Load::Chunks(BODY_BYTES, 64 * 1024);
    check_callers("large chunks", LARGE, load);
}

#[test]
fn gateway_survives_bodies_in_chunks_of_one_byte_without_an_end() {
    check_callers("tiny chunks", LARGE, crowd::Load::Chunks(MIB / 2, 1));
}

#[test]
fn gateway_survives_bodies_that_are_announced_far_over_the_limit() {
    let load = crowd::Load::Announced(64 * BODY_BYTES, BODY_BYTES - 1);
    check_callers("announced over the limit", LARGE, load);
}

#[test]
fn gateway_survives_bodies_that_are_far_over_the_limit() {
    let load = crowd::Load::Chunks(3 * BODY_BYTES, 64 * 1024);
    check_callers("over the limit", LARGE, load);
}

#[test]
fn gateway_survives_heads_without_an_end() {
    check_callers("heads", MANY, crowd::Load::Head(HEAD_BYTES));
}

#[test]
fn gateway_survives_callers_that_do_not_read_answers() {
    let _one = lock();
    let mut fleet = small_fleet::SmallFleet::start();
    let head = |number| small_fleet::caller_head("GET", "/big/x", number);
    let crowd = crowd::Crowd::queue(small_fleet::callers(), LARGE, crowd::Load::SlowReader, head);
    let gateway = &mut fleet.gateway;
    check("answers", gateway, GATEWAY, crowd, small_fleet::answers);
}

#[test]
fn gateway_survives_callers_that_do_not_read_events() {
    let _one = lock();
    let mut fleet = small_fleet::SmallFleet::start();
    let head = |number| small_fleet::caller_head("GET", "/stream/x", number);
    let crowd = crowd::Crowd::queue(small_fleet::callers(), LARGE, crowd::Load::SlowReader, head);
    let gateway = &mut fleet.gateway;
    check("events", gateway, GATEWAY, crowd, small_fleet::answers);
}

#[test]
fn gateway_serves_one_body_of_the_largest_size() {
    // Guards against a budget that is too small for a legal request.
    let _one = lock();
    let mut fleet = small_fleet::SmallFleet::start();
    small_fleet::wait("largest body", small_fleet::answers_largest);
    footprint::check("largest body", &mut fleet.gateway, GATEWAY);
}

#[test]
fn readiness_survives_heads_without_an_end() {
    let address = small_fleet::readiness();
    check_aside("readiness heads", address, crowd::Load::Head(HEAD_BYTES));
}

#[test]
fn readiness_survives_connections_without_a_request() {
    check_aside(
        "readiness idle",
        small_fleet::readiness(),
        crowd::Load::Idle,
    );
}

#[test]
fn metrics_survive_heads_without_an_end() {
    let address = small_fleet::metrics();
    check_aside("metrics heads", address, crowd::Load::Head(HEAD_BYTES));
}

#[test]
fn metrics_survive_connections_without_a_request() {
    check_aside("metrics idle", small_fleet::metrics(), crowd::Load::Idle);
}

#[test]
fn control_survives_documents_that_stop_before_their_end() {
    let path = lift_peer::paths::REPLACE;
    check_control("documents", path, LARGE, crowd::Load::Short(8 * MIB));
}

#[test]
fn control_survives_announcements_without_an_end() {
    let path = "/v1/replicas/s9-0/heartbeat";
    let load = crowd::Load::Chunks(8 * MIB - 64 * 1024, 64 * 1024);
    check_control("announcements", path, LARGE, load);
}

#[test]
fn control_survives_heads_without_an_end() {
    let path = lift_peer::paths::REPLACE;
    check_control(
        "control heads",
        path,
        2 * MANY,
        crowd::Load::Head(HEAD_BYTES),
    );
}

#[test]
fn control_survives_connections_without_a_request() {
    let path = lift_peer::paths::REPLACE;
    check_control("control idle", path, 2 * MANY, crowd::Load::Idle);
}

#[test]
fn run_survives_bodies_that_stop_before_their_end() {
    let load = crowd::Load::Short(BODY_BYTES);
    check_run("run bodies", |n| n.caller, "/v1/ledger/lookup", LARGE, load);
}

#[test]
fn run_survives_bodies_in_chunks_of_one_byte_without_an_end() {
    let load = crowd::Load::Chunks(MIB / 2, 1);
    check_run("run chunks", |n| n.caller, "/v1/ledger/lookup", LARGE, load);
}

#[test]
fn run_survives_callers_that_do_not_read_answers() {
    let load = crowd::Load::SlowReader;
    check_run("run answers", |n| n.caller, "/v1/ledger/large", 20, load);
}

#[test]
fn run_administration_survives_bodies_that_stop_before_their_end() {
    let load = crowd::Load::Short(2 * MIB);
    check_run("run changes", |n| n.admin, "/v1/changes", 2 * LARGE, load);
}

#[test]
fn run_administration_survives_heads_without_an_end() {
    let load = crowd::Load::Head(HEAD_BYTES);
    check_run("run admin heads", |n| n.admin, "/v1/changes", MANY, load);
}

#[test]
fn run_metrics_survive_heads_without_an_end() {
    let load = crowd::Load::Head(HEAD_BYTES);
    check_run("run metrics heads", |n| n.caller, "/metrics", MANY, load);
}
