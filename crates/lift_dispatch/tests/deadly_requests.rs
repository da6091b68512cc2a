//! Quarantine of whole requests that crash backend servers. Guards against a request that ends server
//! after server, and against the refusal of sound requests beside it.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod part_play;

use std::time;

use lift_dispatch::PartQuarantine;
use part_play::{DEADLY, Play, Traffic};

/// Time after which what one gateway knows is known to all.
const CONTACT: time::Duration = time::Duration::from_secs(3);

/// Arrivals of a deadly request that are allowed after its third crash and the contact time.
const MAX_LATE_ARRIVALS: usize = 3;

const SOUND: Traffic = Traffic {
    sound: 170,
    with_deadly_part: 0,
    deadly: 0,
    deadly_kinds: 0,
    has_digests: true,
    is_plain: false,
};

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn request(number: u128) -> String {
    let digest = lift_fleet::RequestDigest::new(number.to_be_bytes());
    digest.as_suspect().clone()
}

fn strings(names: &[&str]) -> Vec<String> {
    names.iter().copied().map(String::from).collect()
}

#[test]
fn a_deadly_request_is_kept_away_and_sound_requests_are_served() {
    // Guards against one request that ends backend servers for as long as it comes again.
    for (gateways, servers, deadly) in [(5, 12, 2), (14, 40, 4), (52, 200, 4)] {
        for seed in 1..=4 {
            for is_plain in [false, true] {
                let calm = Traffic { is_plain, ..SOUND };
                let mut play = Play::new(gateways, servers, seed);
                play.run_with(2_000, calm);
                let traffic = Traffic {
                    deadly,
                    deadly_kinds: 1,
                    ..calm
                };
                play.run_with(20_000, traffic);
                let (counts, case) = (&play.counts, (gateways, servers, seed, is_plain));
                let late = counts.arrivals_after(3, CONTACT);
                assert!(late <= MAX_LATE_ARRIVALS, "{case:?}: {late}");
                assert!(
                    counts.crashes.len() <= 14,
                    "{case:?} {}",
                    counts.crashes.len()
                );
                assert_eq!(counts.sound_refused, 0, "{case:?}");
                if !is_plain {
                    assert_eq!(play.refusing_request(0), gateways, "{case:?}");
                }
            }
        }
    }
}

#[test]
fn several_deadly_requests_are_each_kept_away() {
    // Guards against requests of which none explains most of the ends.
    for (kinds, seed) in [(2, 1), (2, 2), (5, 3), (12, 4)] {
        let mut play = Play::new(14, 40, seed);
        play.run_with(2_000, SOUND);
        let traffic = Traffic {
            deadly: 4,
            deadly_kinds: kinds,
            ..SOUND
        };
        play.run_with(40_000, traffic);
        for kind in 0..kinds {
            assert_eq!(play.refusing_request(kind), 14, "{kind} of {kinds}");
        }
        assert_eq!(play.counts.sound_refused, 0, "{kinds} kinds");
    }
}

#[test]
fn ordinary_crashes_beside_digests_quarantine_nothing() {
    // Guards against the quarantine of sound parts and requests when many backend servers end.
    for (gateways, servers) in [(5, 12), (14, 40), (52, 200)] {
        for seed in 1..=4 {
            let mut play = Play::new(gateways, servers, seed);
            play.run_with(2_000, SOUND);
            for _ in 0..6 {
                play.end_servers(servers / 2);
                for _ in 0..3 {
                    play.run_with(400, SOUND);
                    play.end_servers(1);
                }
                play.run_with(4_000, SOUND);
            }
            let case = (gateways, servers, seed);
            assert_eq!(play.counts.sound_refused, 0, "{case:?}");
        }
    }
}

#[test]
fn a_deadly_part_is_found_although_its_requests_are_sent_again() {
    // Guards against blaming a single request in place of the part that it shares with others.
    let start = time::Instant::now();
    let mut quarantine = PartQuarantine::default();
    for i in 0..5 {
        let at = start + ms(200 * i);
        // The first request comes three times.
        let number = u128::from(i.saturating_sub(2));
        let suspects = [String::from(DEADLY), request(number)];
        quarantine.record_crash(at, at, &format!("server {i}"), &suspects);
        quarantine.record_answer(at + ms(100), "other");
        quarantine.update(at + ms(150));
    }
    let other = [String::from(DEADLY), request(9)];
    let now = start + ms(1_000);
    quarantine.update(now);
    assert_eq!(quarantine.blocked(now, &other).unwrap().parts, [DEADLY]);
}

#[test]
fn a_request_is_no_longer_suspected_once_it_is_answered() {
    // Guards against alike sound requests that are refused although they are answered.
    let start = time::Instant::now();
    let alike = [request(1)];
    let mut quarantine = PartQuarantine::default();
    for i in 0..3 {
        let at = start + ms(200 * i);
        quarantine.record_crash(at, at, &format!("server {i}"), &alike);
    }
    assert!(quarantine.record_answer(start + ms(500), &alike[0]));
    assert!(quarantine.update(start + ms(900)).is_empty());
    assert!(quarantine.is_calm());
    assert!(quarantine.may_repeat(start + ms(900), &alike));
}

#[test]
fn answers_to_other_requests_do_not_push_out_what_is_known_of_parts() {
    // Guards against a memory of answers that is filled by requests that come only once.
    let start = time::Instant::now();
    let mut quarantine = PartQuarantine::default();
    quarantine.record_answer(start, "sound");
    for number in 0..10_000 {
        quarantine.record_answer(start + ms(1), &request(number));
    }
    // A part that was answered after the end is no suspect.
    quarantine.record_crash(start, start, "server", &strings(&["sound"]));
    assert!(quarantine.is_calm());
}
