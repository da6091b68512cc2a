//! Reads the clock.

use std::{sync, time};

/// Both clocks at one moment.
static START: sync::OnceLock<(time::Instant, time::Duration)> = sync::OnceLock::new();

/// The present moment. Values never go back, and differences between two values include the
/// time for which the host was suspended.
pub fn now() -> time::Instant {
    let Some(since_boot) = since_boot() else {
        return time::Instant::now();
    };
    let (instant, boot) = START.get_or_init(|| (time::Instant::now(), since_boot));
    *instant + since_boot.saturating_sub(*boot)
}

/// Time since the host was booted, suspensions included. `None` where the system lacks the
/// clock; the monotonic clock then stands in, and suspensions are not noticed.
fn since_boot() -> Option<time::Duration> {
    let read = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    read.ok().map(time::Duration::from)
}
