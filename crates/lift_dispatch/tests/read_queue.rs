//! Prompts that wait to be read.

use std::time;

const MS: time::Duration = time::Duration::from_millis(1);

#[test]
fn requests_that_come_together_are_read_one_after_the_other() {
    // Guards against a count of requests alone, by which an engine that fills up within a
    // moment looks as quick as one that has long been at work.
    let start = time::Instant::now();
    let mut queue = lift_dispatch::ReadQueue::default();
    assert_eq!(queue.sample(start, 0, 40 * MS), 0);
    assert_eq!(queue.sample(start + 50 * MS, 10, 40 * MS), 10);
    assert_eq!(queue.sample(start + 130 * MS, 10, 40 * MS), 8);
    assert_eq!(queue.sample(start + 530 * MS, 9, 40 * MS), 0);
    assert_eq!(queue.sample(start + 580 * MS, 10, 40 * MS), 1);
}

#[test]
fn an_engine_without_figures_reads_at_once() {
    let start = time::Instant::now();
    let mut queue = lift_dispatch::ReadQueue::default();
    queue.sample(start, 0, time::Duration::ZERO);
    queue.sample(start + 50 * MS, 10, time::Duration::ZERO);
    assert_eq!(queue.sample(start + 100 * MS, 10, time::Duration::ZERO), 0);
}
