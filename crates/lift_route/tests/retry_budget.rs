//! Guards against more retries in a window of time than the ratio and the burst allow.

use std::time;

/// Retries that each request adds, and those that are allowed at once in one place.
const RATIO: f64 = 0.14;
const BURST: f64 = 14.0;

/// Burst of which a small part is whole retries.
const LARGE_BURST: f64 = 700.0;

/// Retries in a window that the deployment allows for each one of the burst.
const ALLOWED_FACTOR: f64 = 1.0 / 0.7;

/// Window in which retries are counted.
const WINDOW_MS: u64 = 10_000;

/// Time between two requests, each of which is retried as often as the budget allows.
const REQUEST_MS: u64 = 100;

/// Most retries in any window of a succession of processes in one place. Requests fail from
/// `failing_from_ms` on, and from then on a new process starts at intervals of `lifetime_ms`.
fn most_retries_in_window(burst: f64, lifetime_ms: u64, failing_from_ms: u64) -> usize {
    let mut retries: Vec<u64> = Vec::new();
    let mut budget = lift_route::RetryBudget::empty();
    let mut started_at = 0;
    for now in (0..failing_from_ms + 60_000).step_by(REQUEST_MS as usize) {
        if now > failing_from_ms && (now - failing_from_ms).is_multiple_of(lifetime_ms) {
            budget = lift_route::RetryBudget::empty();
            started_at = now;
        }
        budget.configure(RATIO, burst);
        budget.grant(time::Duration::from_millis(now - started_at));
        budget.deposit();
        while now >= failing_from_ms && budget.try_withdraw() {
            retries.push(now);
        }
    }
    let in_window = |end: &u64| {
        let window = retries.iter();
        window
            .filter(|at| **at <= *end && **at + WINDOW_MS > *end)
            .count()
    };
    retries.iter().map(in_window).max().unwrap_or_default()
}

#[test]
fn processes_that_start_in_series_share_one_burst() {
    let earned = RATIO * (WINDOW_MS / REQUEST_MS) as f64;
    for burst in [BURST, LARGE_BURST] {
        let allowed = earned + burst * ALLOWED_FACTOR;
        for lifetime_ms in [
            100, 200, 300, 400, 500, 600, 700, 800, 900, 1_500, 2_000, 4_500, 7_500, 9_900, 10_100,
            30_000, 70_000,
        ] {
            for failing_from_ms in [0, 5_000, 29_000, 49_900, 60_000, 90_000] {
                let most = most_retries_in_window(burst, lifetime_ms, failing_from_ms) as f64;
                assert!(
                    most <= allowed,
                    "{most} of {allowed}: {burst}, {lifetime_ms}, {failing_from_ms}"
                );
            }
        }
    }
}

#[test]
fn a_process_that_runs_for_long_has_the_whole_burst_once() {
    let mut budget = lift_route::RetryBudget::empty();
    budget.configure(0.0, BURST);
    budget.grant(time::Duration::from_secs(50));
    let taken = (0..100).filter(|_| budget.try_withdraw()).count();
    assert_eq!(taken as f64, BURST);
    budget.grant(time::Duration::from_secs(3_600));
    assert!(!budget.try_withdraw());
}

#[test]
fn a_new_process_retries_as_its_requests_earn() {
    let mut budget = lift_route::RetryBudget::empty();
    budget.configure(RATIO, BURST);
    budget.grant(time::Duration::ZERO);
    let mut taken = 0;
    for _ in 0..100 {
        budget.deposit();
        taken += u32::from(budget.try_withdraw());
    }
    assert!(taken >= 14, "{taken}");
}
