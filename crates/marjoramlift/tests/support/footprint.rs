//! Memory and descriptors of a process.
#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

use std::{fs, process, thread, time};

/// Longest wait until a process has returned the memory of callers that have left.
const RELEASE_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Time for which the peak must not grow until a process counts as having read what it will read,
/// and the longest wait for that.
const SETTLED_TIME: time::Duration = time::Duration::from_secs(2);
const SETTLE_LIMIT: time::Duration = time::Duration::from_secs(25);

/// Bytes in a megabyte of the page of the deployments.
const MB_BYTES: u64 = 1_000_000;

/// What a process may use.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Resident memory at any time, in MB. Half of it is allowed after callers have left.
    pub memory_mb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Waits until the memory of a process no longer grows.
pub fn settle(child: &process::Child) {
    let until = time::Instant::now() + SETTLE_LIMIT;
    let (mut peak, mut since) = (0, time::Instant::now());
    while since.elapsed() < SETTLED_TIME && time::Instant::now() < until {
        thread::sleep(time::Duration::from_millis(100));
        let now = read_status(child, "VmHWM:").unwrap_or_default();
        if now > peak {
            (peak, since) = (now, time::Instant::now());
        }
    }
}

/// Checks a process while callers are connected: it runs, and is within `bounds`.
pub fn check(what: &str, child: &mut process::Child, bounds: Bounds) {
    let peak = status_bytes(what, child, "VmHWM:") / MB_BYTES;
    let open = descriptors(child);
    println!("{what}: peak {peak} MB, {open} descriptors");
    assert!(child.try_wait().unwrap().is_none(), "{what}: process ended");
    assert!(peak <= bounds.memory_mb, "{what}: peak {peak} MB");
    assert!(open <= bounds.descriptors, "{what}: {open} descriptors");
}

/// Checks that a process returns memory after callers have left.
pub fn check_release(what: &str, child: &mut process::Child, bounds: Bounds) {
    let until = time::Instant::now() + RELEASE_LIMIT;
    loop {
        assert!(child.try_wait().unwrap().is_none(), "{what}: process ended");
        let held = status_bytes(what, child, "VmRSS:") / MB_BYTES;
        if held <= bounds.memory_mb / 2 {
            println!("{what}: {held} MB after the callers have left");
            return;
        }
        let is_late = time::Instant::now() >= until;
        assert!(!is_late, "{what}: {held} MB after the callers have left");
        thread::sleep(time::Duration::from_millis(200));
    }
}

fn status_bytes(what: &str, child: &process::Child, field: &str) -> u64 {
    read_status(child, field).unwrap_or_else(|| panic!("{what}: process ended"))
}

fn read_status(child: &process::Child, field: &str) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(field))?;
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kib * 1024)
}

fn descriptors(child: &process::Child) -> usize {
    fs::read_dir(format!("/proc/{}/fd", child.id())).map_or(0, Iterator::count)
}
