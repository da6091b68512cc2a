//! Which pieces are to be read again before an order, and whether it may go.

use std::time;

use lift_stage::{MAX_CHECK_AGE, PieceChecks};

const STEP: time::Duration = time::Duration::from_millis(100);

/// Three pieces, one read every [`STEP`], piece 2 first.
fn checks(start: time::Instant) -> PieceChecks {
    let mut checks = PieceChecks::new(3);
    for (step, index) in [(0, 2), (1, 0), (2, 1)] {
        let started_at = start + STEP * step;
        checks.record(index, started_at, started_at + STEP);
    }
    checks
}

#[test]
fn a_check_counts_from_the_start_of_its_oldest_read() {
    let start = time::Instant::now();
    let checks = checks(start);
    assert_eq!(checks.age(start + STEP * 3), Some(STEP * 3));
    assert!(checks.allows_order(start + MAX_CHECK_AGE));
    assert!(!checks.allows_order(start + MAX_CHECK_AGE + STEP));
}

#[test]
fn a_check_that_lacks_a_piece_allows_no_order() {
    let start = time::Instant::now();
    let mut checks = PieceChecks::new(2);
    checks.record(1, start, start);
    assert_eq!(checks.age(start), None);
    assert!(!checks.allows_order(start));
    assert_eq!(checks.due(start), [0]);
}

#[test]
fn only_pieces_that_were_read_too_long_ago_are_read_again() {
    let start = time::Instant::now();
    let mut checks = checks(start);
    assert!(checks.due(start + MAX_CHECK_AGE).is_empty());
    let late = start + MAX_CHECK_AGE + STEP + STEP / 2;
    assert_eq!(checks.due(late), [2, 0], "the oldest first");
    checks.record(2, late, late);
    checks.record(0, late, late);
    assert!(checks.allows_order(late));
}

#[test]
fn an_answer_long_after_the_check_is_told_apart() {
    let start = time::Instant::now();
    let checks = checks(start);
    assert!(!checks.is_outlived(start + time::Duration::from_secs(3)));
    assert!(checks.is_outlived(start + time::Duration::from_millis(3_001)));
}

#[test]
fn slow_reads_run_at_once_and_fast_ones_hardly() {
    let start = time::Instant::now();
    let reads_at_once = |millis| {
        let mut checks = PieceChecks::new(96);
        checks.record(0, start, start + time::Duration::from_millis(millis));
        checks.reads_at_once()
    };
    assert_eq!(PieceChecks::new(96).reads_at_once(), 2);
    assert_eq!([1, 8, 45, 70, 900].map(reads_at_once), [2, 2, 9, 14, 16]);
}
