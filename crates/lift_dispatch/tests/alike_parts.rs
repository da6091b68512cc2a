//! Parts of prompts that explain the same ends of backend servers. Guards against a sound part that is
//! blamed in place of the deadly one beside it.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time;

use lift_dispatch::PartQuarantine;

const DEADLY: &str = "deadly";

fn parts(names: &[&str]) -> Vec<String> {
    names.iter().copied().map(String::from).collect()
}

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

/// Records the end of a server on each of the prompts, 200 ms apart, and then an answer to another
/// request.
fn record(quarantine: &mut PartQuarantine, start: time::Instant, prompts: &[&[&str]]) {
    for (i, prompt) in (0..).zip(prompts) {
        let at = start + ms(200 * i);
        quarantine.record_crash(at, at, &format!("{i} from {start:?}"), &parts(prompt));
    }
    quarantine.record_answer(start + ms(200 * prompts.len() as u64), "other");
}

#[test]
fn parts_that_explain_the_same_ends_are_refused_together_only() {
    // Guards against blaming a new sound part because it stands behind the deadly one in each
    // prompt, or before it (review/5).
    let start = time::Instant::now();
    let now = start + ms(900);
    for prompt in [[DEADLY, "new"], ["new", DEADLY]] {
        let mut quarantine = PartQuarantine::default();
        record(&mut quarantine, start, &[&prompt[..]; 3]);
        quarantine.update(now);
        assert!(quarantine.blocked(now, &parts(&prompt)).is_some());
        assert_eq!(quarantine.blocked(now, &parts(&["new"])), None);
        assert!(!quarantine.may_repeat(now, &parts(&[DEADLY, "other"])));
        // The sound request that was let through is answered.
        assert!(quarantine.record_answer(now, "new"));
        let deadly = quarantine.blocked(now, &parts(&[DEADLY, "other"]));
        assert_eq!(deadly.unwrap().parts, [DEADLY]);
        assert_eq!(quarantine.blocked(now, &parts(&["new"])), None);
    }
}

#[test]
fn a_part_that_was_answered_before_is_suspected_beside_a_new_one() {
    // Guards against blaming a new part because the deadly one was sound until now, also where the
    // latter explains more ends.
    let start = time::Instant::now();
    let now = start + ms(1_100);
    let both = [DEADLY, "new"];
    for prompts in [
        &[&both[..], &both, &both][..],
        &[&[DEADLY], &both, &both, &both],
    ] {
        let mut quarantine = PartQuarantine::default();
        quarantine.record_answer(start - ms(500), DEADLY);
        record(&mut quarantine, start, prompts);
        quarantine.update(now);
        assert!(quarantine.blocked(now, &parts(&both)).is_some());
        assert_eq!(quarantine.blocked(now, &parts(&["new"])), None);
    }
}

#[test]
fn a_new_part_that_explains_fewer_ends_is_refused_beside_the_deadly_one_only() {
    // Guards against refusing sound requests with a new part that stood beside a deadly one, which
    // explains clearly more ends but was answered before.
    let start = time::Instant::now();
    let both = [DEADLY, "new"];
    let mut quarantine = PartQuarantine::default();
    quarantine.record_answer(start - ms(500), DEADLY);
    let prompts: [&[&str]; 5] = [&[DEADLY, "a"], &[DEADLY, "b"], &both, &both, &both];
    record(&mut quarantine, start, &prompts);
    let now = start + ms(1_100);
    quarantine.update(now);
    assert!(quarantine.blocked(now, &parts(&both)).is_some());
    assert_eq!(quarantine.blocked(now, &parts(&["new"])), None);
    record(&mut quarantine, start + ms(1_200), &[&[DEADLY, "c"]]);
    let now = start + ms(1_500);
    let deadly = quarantine.blocked(now, &parts(&[DEADLY, "d"]));
    assert_eq!(deadly.unwrap().parts, [DEADLY]);
    assert_eq!(quarantine.blocked(now, &parts(&["new"])), None);
}

#[test]
fn further_ends_tell_the_deadly_part_from_its_neighbour() {
    // Guards against a deadly part that goes on ending servers beside other parts than at first,
    // and against blaming its neighbour for one ordinary crash.
    let start = time::Instant::now();
    let mut quarantine = PartQuarantine::default();
    record(&mut quarantine, start, &[&[DEADLY, "new"][..]; 3]);
    quarantine.update(start + ms(900));
    let at = start + ms(1_000);
    record(&mut quarantine, at, &[&["new"]]);
    assert_eq!(quarantine.blocked(at, &parts(&["new"])), None);
    let prompts: [&[&str]; 3] = [&[DEADLY, "a"], &[DEADLY, "b"], &[DEADLY, "c"]];
    record(&mut quarantine, start + ms(2_000), &prompts);
    let now = start + ms(3_000);
    let deadly = quarantine.blocked(now, &parts(&[DEADLY, "d"]));
    assert_eq!(deadly.unwrap().parts, [DEADLY]);
    assert_eq!(quarantine.blocked(now, &parts(&["new"])), None);
}

#[test]
fn parts_that_explain_as_many_ends_wait_for_the_next_one() {
    // Guards against choosing one of two parts by chance.
    let start = time::Instant::now();
    let mut quarantine = PartQuarantine::default();
    let both = [DEADLY, "new"];
    record(
        &mut quarantine,
        start,
        &[&both, &both, &[DEADLY, "a"], &["new"]],
    );
    assert!(quarantine.update(start + ms(900)).is_empty());
    record(&mut quarantine, start + ms(1_000), &[&[DEADLY]]);
    let now = start + ms(1_300);
    quarantine.update(now);
    let deadly = quarantine.blocked(now, &parts(&[DEADLY]));
    assert_eq!(deadly.unwrap().parts, [DEADLY]);
    assert_eq!(quarantine.blocked(now, &parts(&["new"])), None);
}

#[test]
fn parts_of_different_requests_at_the_same_servers_are_told_apart() {
    // Guards against a quarantine of two parts that no request holds together, which would refuse
    // nothing, and against an endless decision.
    let start = time::Instant::now();
    let mut quarantine = PartQuarantine::default();
    record(&mut quarantine, start, &[&[DEADLY][..]; 3]);
    // The same servers at the same times.
    for (i, server) in (0..3).map(|i| (i, format!("{i} from {start:?}"))) {
        let at = start + ms(200 * i);
        quarantine.record_crash(at, at, &server, &parts(&["new"]));
    }
    assert!(quarantine.update(start + ms(900)).is_empty());
    record(&mut quarantine, start + ms(1_000), &[&[DEADLY, "a"]]);
    let now = start + ms(1_300);
    quarantine.update(now);
    let deadly = quarantine.blocked(now, &parts(&[DEADLY, "b"]));
    assert_eq!(deadly.unwrap().parts, [DEADLY]);
    assert_eq!(quarantine.blocked(now, &parts(&["new"])), None);
}
