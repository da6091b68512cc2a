//! Quarantine of the part of a prompt that crashes backend servers. Guards against a part that ends
//! server after server, and against the refusal of sound requests that share its other parts.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod part_play;

use std::time;

use lift_dispatch::{PartQuarantine, QuarantineChange};
use part_play::{DEADLY, Play};

/// Time after which what one gateway knows is known to all.
const CONTACT: time::Duration = time::Duration::from_secs(3);

/// Arrivals with the deadly part that are allowed after the fifth crash and the contact time.
const MAX_LATE_ARRIVALS: usize = 3;

const SOUND_PER_S: u64 = 170;

fn parts(names: &[&str]) -> Vec<String> {
    names.iter().copied().map(String::from).collect()
}

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

#[test]
fn a_deadly_part_is_kept_away_and_sound_requests_are_served() {
    // Guards against a part that ends backend servers for as long as requests with it come, and
    // against blaming the parts that sound requests share with it.
    for (gateways, servers, deadly_per_s) in [(5, 12, 4), (14, 40, 9), (52, 200, 9)] {
        for seed in 1..=4 {
            let mut play = Play::new(gateways, servers, seed);
            play.run(2_000, SOUND_PER_S, 0);
            play.run(20_000, SOUND_PER_S, deadly_per_s);
            let (counts, case) = (&play.counts, (gateways, servers, seed));
            let late = counts.late_arrivals(CONTACT);
            assert!(late <= MAX_LATE_ARRIVALS, "{case:?}: {late}");
            assert!(
                counts.crashes.len() <= 14,
                "{case:?}: {}",
                counts.crashes.len()
            );
            assert_eq!(play.refusing(DEADLY), gateways, "{case:?}");
            assert_eq!(counts.sound_refused, 0, "{case:?}");
        }
    }
}

#[test]
fn ordinary_crashes_quarantine_nothing() {
    // Guards against the quarantine of sound parts when many backend servers end at once, and when
    // they end one after the other.
    for (gateways, servers) in [(5, 12), (14, 40), (52, 200)] {
        for seed in 1..=4 {
            let mut play = Play::new(gateways, servers, seed);
            play.run(2_000, SOUND_PER_S, 0);
            for _ in 0..6 {
                play.end_servers(servers / 2);
                for _ in 0..3 {
                    play.run(400, SOUND_PER_S, 0);
                    play.end_servers(1);
                }
                play.run(4_000, SOUND_PER_S, 0);
            }
            let (counts, case) = (&play.counts, (gateways, servers, seed));
            assert_eq!(counts.sound_refused, 0, "{case:?}");
            assert!(
                counts.sound_given_up * 500 <= counts.sound_arrivals,
                "{case:?} {}",
                counts.sound_given_up
            );
        }
    }
}

#[test]
fn ordinary_crashes_in_quick_succession_quarantine_nothing() {
    // Guards against blaming a rare part whose few requests were all at servers that ended.
    for seed in 1..=4 {
        let mut play = Play::new(5, 12, seed);
        play.run(2_000, SOUND_PER_S, 0);
        for _ in 0..6 {
            play.end_servers(6);
            for _ in 0..5 {
                play.run(150, SOUND_PER_S, 0);
                play.end_servers(1);
            }
            play.run(4_000, SOUND_PER_S, 0);
        }
        assert_eq!(play.counts.sound_refused, 0, "seed {seed}");
    }
}

#[test]
fn a_restarted_gateway_learns_the_quarantine_from_the_others() {
    // Guards against a gateway that lets the deadly part through again after its restart.
    for seed in 1..=4 {
        let mut play = Play::new(14, 40, seed);
        play.run(2_000, SOUND_PER_S, 0);
        play.run(6_000, SOUND_PER_S, 9);
        let crashes = play.counts.crashes.len();
        for gateway in 0..14 {
            play.restart(gateway);
            play.run(500, SOUND_PER_S, 9);
        }
        assert_eq!(play.refusing(DEADLY), 14, "seed {seed}");
        assert_eq!(play.counts.crashes.len(), crashes, "seed {seed}");
        assert_eq!(play.counts.sound_refused, 0, "seed {seed}");
    }
}

#[test]
fn a_part_that_was_sound_before_is_found_among_ordinary_crashes() {
    // Guards against a part that is trusted because it was answered once.
    for seed in 1..=4 {
        let mut play = Play::new(5, 12, seed);
        play.run(2_000, SOUND_PER_S, 0);
        for _ in 0..4 {
            play.end_servers(2);
            play.run(1_000, SOUND_PER_S, 6);
        }
        play.run(8_000, SOUND_PER_S, 6);
        let late = play.counts.late_arrivals(CONTACT);
        assert!(late <= MAX_LATE_ARRIVALS, "seed {seed}: {late}");
        assert_eq!(play.counts.sound_refused, 0, "seed {seed}");
    }
}

/// Evidence of `count` separate ends on requests with the same parts, and an answer to another one.
fn suspected(start: time::Instant, count: u64, names: &[&str]) -> PartQuarantine {
    let mut quarantine = PartQuarantine::default();
    for i in 0..count {
        let at = start + ms(200 * i);
        quarantine.record_crash(at, at, &format!("server {i}"), &parts(names));
    }
    quarantine.record_answer(start + ms(200 * count), "other");
    quarantine
}

#[test]
fn requests_are_repeated_less_readily_than_they_are_started() {
    // Guards against a request that ends two backend servers by itself.
    let start = time::Instant::now();
    let deadly = parts(&[DEADLY]);
    let once = suspected(start, 1, &[DEADLY]);
    assert!(once.may_repeat(start + ms(900), &deadly));
    let mut twice = suspected(start, 2, &[DEADLY]);
    assert!(!twice.may_repeat(start + ms(900), &deadly));
    assert!(twice.update(start + ms(900)).is_empty());
    assert_eq!(twice.blocked(start + ms(900), &deadly), None);
}

#[test]
fn copies_of_a_sighting_count_once() {
    // Guards against a quarantine that comes from one crash, whose sighting arrives many times or
    // from many gateways.
    let start = time::Instant::now();
    let mut quarantine = PartQuarantine::default();
    for i in 0..20 {
        let at = start + ms(150 * i);
        quarantine.record_crash(at, at, "one server", &parts(&["shared", DEADLY]));
    }
    quarantine.record_answer(start + ms(4_000), "other");
    assert!(quarantine.update(start + ms(4_000)).is_empty());
}

#[test]
fn an_answer_clears_its_parts_and_ends_a_false_quarantine() {
    // Guards against a sound part that stays refused although requests with it are answered.
    let start = time::Instant::now();
    let now = start + ms(900);
    let both = parts(&["shared", "caller"]);
    let mut quarantine = suspected(start, 3, &["shared", "caller"]);
    let started = quarantine.update(now);
    assert!(
        matches!(&started[..], [QuarantineChange::Started { parts, .. }] if *parts == both),
        "{started:?}"
    );
    assert_eq!(quarantine.blocked(now, &parts(&["shared"])), None);
    assert_eq!(quarantine.blocked(now, &parts(&["caller"])), None);
    assert_eq!(quarantine.blocked(now, &both).unwrap().parts, both);
    assert!(quarantine.record_answer(now, "shared"));
    assert_eq!(
        quarantine.update(now),
        [QuarantineChange::Narrowed {
            parts: parts(&["caller"])
        }]
    );
    assert!(quarantine.record_answer(now, "caller"));
    let part = String::from("caller");
    assert_eq!(
        quarantine.update(now),
        [QuarantineChange::Answered { part }]
    );
    assert_eq!(quarantine.blocked(now, &both), None);
}

#[test]
fn a_quarantine_ends_and_then_needs_new_evidence() {
    // Guards against a part that is refused for ever, and against old evidence that counts twice.
    let start = time::Instant::now();
    let deadly = parts(&["shared", DEADLY]);
    let mut quarantine = suspected(start, 3, &["shared", DEADLY]);
    quarantine.update(start + ms(900));
    let blocked = quarantine.blocked(start + ms(900), &deadly).unwrap();
    assert_eq!(blocked.parts, deadly);
    let end = start + ms(900) + blocked.time_left;
    assert_eq!(quarantine.blocked(end, &deadly), None);
    let expired = QuarantineChange::Expired {
        parts: deadly.clone(),
    };
    assert_eq!(quarantine.update(end), [expired]);
    quarantine.record_crash(end, start, "server 0", &deadly);
    assert!(quarantine.may_repeat(end, &deadly));
}
