//! Guards against an agent that takes the origin for present or absent by the wrong sign.

use std::time;

use lift_transfer::OriginWatch;
use rand::SeedableRng as _;

const MS: time::Duration = time::Duration::from_millis(1);

#[test]
fn an_answer_from_before_the_absence_does_not_end_it() {
    // Guards against agents that read all they lack at once from an origin that is away, because
    // the last answer to a read from before came late.
    let now = time::Instant::now();
    let mut watch = OriginWatch::default();
    assert!(watch.record_failure(now));
    watch.record_answer();
    assert!(!watch.answers());
    assert_eq!(watch.record_reached(now + 700 * MS), 700 * MS);
    assert!(watch.answers());
}

#[test]
fn an_origin_that_accepts_connections_but_no_reads_stays_absent() {
    // Guards against reads that all begin at once when the origin answers reads again, since the
    // absence counts from its last failed read.
    let now = time::Instant::now();
    let mut watch = OriginWatch::default();
    watch.record_failure(now);
    watch.record_reached(now + 10 * MS);
    assert!(watch.record_failure(now + 20 * MS));
    assert_eq!(watch.record_reached(now + 900 * MS), 900 * MS);
    watch.record_answer();
    watch.record_failure(now + 5_000 * MS);
    assert_eq!(watch.record_reached(now + 5_010 * MS), 10 * MS);
}

#[test]
fn the_origin_is_probed_several_times_a_second_at_first() {
    // Guards against a return that is noticed late, and against probes without end at that rate.
    let now = time::Instant::now();
    let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    let mut watch = OriginWatch::default();
    watch.record_failure(now);
    for _ in 0..100 {
        let next = watch.next_probe(now + 6_000 * MS, &mut rng);
        assert!(next >= 50 * MS && next <= 250 * MS, "{next:?}");
    }
    let later: time::Duration = (0..100)
        .map(|_| watch.next_probe(now + 60_000 * MS, &mut rng))
        .sum();
    assert!(later / 100 > 400 * MS, "{later:?}");
}

#[test]
fn an_origin_that_refuses_reads_is_probed_less_and_less_often() {
    // Guards against probes and reads in a loop without pauses, where the origin accepts
    // connections and refuses reads, and against a pause after an answer.
    let now = time::Instant::now();
    let mut rng = rand::rngs::SmallRng::seed_from_u64(2);
    let mut watch = OriginWatch::default();
    watch.record_failure(now);
    assert!(watch.first_probe(&mut rng).is_zero());
    for shortest in [75, 150, 300, 300, 300] {
        watch.record_reached(now);
        watch.record_failure(now);
        let pause = watch.first_probe(&mut rng);
        assert!(pause >= shortest * MS && pause <= 900 * MS, "{pause:?}");
    }
    watch.record_reached(now);
    watch.record_answer();
    watch.record_failure(now);
    assert!(watch.first_probe(&mut rng).is_zero());
}
