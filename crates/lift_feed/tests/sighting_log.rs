//! What a node keeps of the sightings that reach it, in virtual time.

use std::time;

use lift_feed::{SightingCursor, SightingLog, SightingOutcome, Spread};

/// Sightings that a full log holds.
const FULL: u64 = 256;

const MINUTE: time::Duration = time::Duration::from_secs(60);

fn crash(id: u64, age: time::Duration, parts: Vec<String>) -> lift_fleet::PartSighting {
    let backend = String::from("b");
    lift_fleet::PartSighting {
        id,
        age,
        observation: lift_fleet::PartObservation::Crash { backend, parts },
    }
}

fn take_all(
    log: &SightingLog,
    now: time::Instant,
    cursor: &mut SightingCursor,
) -> Vec<lift_fleet::PartSighting> {
    let mut all = Vec::new();
    loop {
        let batch = log.take(now, cursor);
        assert!(batch.len() <= 32, "a batch that holds up a narrow link");
        if batch.is_empty() {
            return all;
        }
        all.extend(batch);
    }
}

#[test]
fn a_full_log_drops_the_oldest_and_knows_its_copies() {
    // Guards against a sender that fills the memory of control, and against a crash that counts
    // twice because its copy arrives after it was dropped for space.
    let (now, mut log) = (time::Instant::now(), SightingLog::default());
    let sighting = |id| crash(id, time::Duration::from_secs(1_000 - id) / 2, Vec::new());
    for id in 1..=FULL + 100 {
        let outcome = log.add(now, &sighting(id), Spread::All);
        assert_eq!(outcome, SightingOutcome::News);
    }
    let kept = take_all(&log, now, &mut log.cursor());
    let ids: Vec<u64> = kept.iter().map(|s| s.id).collect();
    assert_eq!(ids, (101..=FULL + 100).collect::<Vec<_>>());
    let copy = lift_fleet::PartSighting {
        age: time::Duration::ZERO,
        ..sighting(1)
    };
    assert_eq!(log.add(now, &copy, Spread::All), SightingOutcome::Copy);
    let oldest = crash(9_999, 9 * MINUTE, Vec::new());
    assert_eq!(log.add(now, &oldest, Spread::All), SightingOutcome::NoSpace);
}

#[test]
fn a_sighting_ages_while_it_is_kept_and_is_forgotten() {
    // Guards against old crashes that look new at each gateway that starts, and against one that is
    // news again when a copy of it was on its way as it was forgotten.
    let (start, mut log) = (time::Instant::now(), SightingLog::default());
    let sighting = crash(1, MINUTE, Vec::new());
    log.add(start, &sighting, Spread::All);
    let later = take_all(&log, start + 3 * MINUTE, &mut log.cursor());
    assert_eq!(later, [crash(1, 4 * MINUTE, Vec::new())]);
    let end = start + 9 * MINUTE;
    assert_eq!(take_all(&log, end, &mut log.cursor()), []);
    let late_copy = crash(1, 9 * MINUTE, Vec::new());
    let outcome = log.add(end, &late_copy, Spread::All);
    assert_eq!(outcome, SightingOutcome::Copy);
    let old = crash(2, 10 * MINUTE, Vec::new());
    let outcome = log.add(end, &old, Spread::All);
    assert_eq!(outcome, SightingOutcome::TooOld);
}

#[test]
fn a_sighting_over_its_bounds_is_not_kept() {
    // Guards against a few sightings that are as large as the log.
    let (now, mut log) = (time::Instant::now(), SightingLog::default());
    let many = vec![String::new(); 65];
    let long = vec!["p".repeat(2_048); 2];
    for parts in [many, long] {
        let outcome = log.add(now, &crash(1, MINUTE, parts), Spread::All);
        assert_eq!(outcome, SightingOutcome::OverBounds);
    }
    let answered = lift_fleet::PartSighting {
        observation: lift_fleet::PartObservation::Answered {
            part: "p".repeat(4_097),
        },
        ..crash(2, MINUTE, Vec::new())
    };
    let outcome = log.add(now, &answered, Spread::All);
    assert_eq!(outcome, SightingOutcome::OverBounds);
    assert_eq!(take_all(&log, now, &mut log.cursor()), []);
}

#[test]
fn what_a_gateway_learned_goes_to_members_that_connect_later() {
    // Guards against each gateway sending each sighting to each member again.
    let (now, mut log) = (time::Instant::now(), SightingLog::default());
    let mut open = log.cursor();
    log.add(now, &crash(1, MINUTE, Vec::new()), Spread::Newcomers);
    log.add(now, &crash(2, MINUTE, Vec::new()), Spread::All);
    let mut opened_later = log.cursor();
    assert_eq!(take_all(&log, now, &mut open).len(), 1);
    assert_eq!(take_all(&log, now, &mut opened_later).len(), 2);
}
