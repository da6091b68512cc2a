//! Guards against estimates that ignore prompts still to be read.

use std::time;

const MS: time::Duration = time::Duration::from_millis(1);

#[test]
fn prompts_of_simultaneous_requests_are_read_one_after_the_other() {
    // Guards against an estimate from the number of requests alone, which rates an engine with
    // many new requests as fast as one that read its prompts long ago.
    let start = time::Instant::now();
    let mut queue = lift_dispatch::PrefillQueue::default();
    assert_eq!(queue.record_sample(start, 0, 40 * MS), 0);
    assert_eq!(queue.record_sample(start + 50 * MS, 10, 40 * MS), 10);
    assert_eq!(queue.record_sample(start + 130 * MS, 10, 40 * MS), 8);
    assert_eq!(queue.record_sample(start + 530 * MS, 9, 40 * MS), 0);
    assert_eq!(queue.record_sample(start + 580 * MS, 10, 40 * MS), 1);
}

#[test]
fn an_engine_of_unknown_speed_has_read_all_prompts_by_the_next_sample() {
    let start = time::Instant::now();
    let mut queue = lift_dispatch::PrefillQueue::default();
    queue.record_sample(start, 0, time::Duration::ZERO);
    queue.record_sample(start + 50 * MS, 10, time::Duration::ZERO);
    assert_eq!(
        queue.record_sample(start + 100 * MS, 10, time::Duration::ZERO),
        0
    );
}
