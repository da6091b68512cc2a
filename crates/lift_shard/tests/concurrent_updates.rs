//! Guards against updates that are lost between threads.

use std::thread;

#[test]
fn updates_from_several_threads_are_all_kept() {
    let counts = lift_shard::Shards::new(4, |_| 0_u64);
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| (0..1_000_u32).for_each(|key| counts.with(&key, |count| *count += 1)));
        }
    });
    assert_eq!(counts.fold(0, |sum, count| sum + *count), 4_000);
}

#[test]
fn a_key_always_finds_its_shard() {
    let shards = lift_shard::Shards::new(7, |position| position);
    for key in 0..100_u64 {
        assert_eq!(
            shards.with(&key, |position| *position),
            shards.position(&key)
        );
    }
}
