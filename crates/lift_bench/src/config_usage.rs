//! Processor time and memory of this process.

use std::{fs, time};

/// Clock ticks in a second in `/proc`, which is fixed on Linux.
const TICKS_PER_S: f64 = 100.0;

/// Size of a page in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Processor time that this process has used; zero where `/proc` is missing.
pub(crate) fn cpu_time() -> time::Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name of the program, in brackets, may contain spaces.
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|ticks| ticks.parse::<f64>().ok())
        .sum();
    time::Duration::from_secs_f64(ticks / TICKS_PER_S)
}

/// Resident memory of this process in bytes; zero where `/proc` is missing.
pub(crate) fn memory_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}
