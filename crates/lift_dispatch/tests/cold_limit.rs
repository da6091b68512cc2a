//! Guards against cold servers that crash because all gateways fill them at once.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod cold_play;

use std::time;

use cold_play::{ALLOWED, MS, Play, Random, any, location};

/// Requests per second that come in most tests. Far more than the server may get.
const FLOOD_PER_S: u64 = 2_000;

#[test]
fn any_number_of_gateways_keeps_the_limit() {
    for gateways in [
        1, 2, 3, 4, 5, 7, 12, 13, 14, 15, 30, 46, 47, 48, 53, 54, 60, 100, 150, 200,
    ] {
        let mut play = Play::new(u64::from(gateways), gateways);
        play.run(8_000, FLOOD_PER_S, any);
        let most = play.most_within_a_second();
        assert!(most <= ALLOWED, "{gateways} gateways: {most}");
        // Too careful a limit would leave the server idle.
        assert!(most >= ALLOWED / 2, "{gateways} gateways: {most}");
    }
}

#[test]
fn idle_seconds_earn_nothing() {
    let mut play = Play::new(1, 13);
    for _ in 0..5 {
        play.run(3_000, 0, any);
        play.run(1_500, 20_000, any);
    }
    let most = play.most_within_a_second();
    assert!(most <= ALLOWED, "{most}");
}

#[test]
fn gateways_that_start_restart_end_and_are_cut_off_keep_the_limit() {
    for seed in 1..=40 {
        let mut play = Play::new(seed, 13);
        play.run(2_000, FLOOD_PER_S, any);
        for _ in 0..30 {
            let host = play.random.below(16) as u32;
            match play.random.below(4) {
                0 => play.start(host),
                1 => play.stop(host),
                2 => play.cut_off(host),
                _ => play.reconnect(host),
            }
            let pause = play.random.below(1_500);
            play.run(pause, FLOOD_PER_S, any);
        }
        let most = play.most_within_a_second();
        assert!(most <= ALLOWED, "seed {seed}: {most}");
    }
}

#[test]
fn gateways_that_all_restart_at_once_keep_the_limit() {
    for seed in 1..=20 {
        let mut play = Play::new(seed, 13);
        play.run(3_000, FLOOD_PER_S, any);
        for host in 0..13 {
            play.stop(host);
        }
        for host in 0..13 {
            play.start(host);
            let pause = play.random.below(60);
            play.run(pause, FLOOD_PER_S, any);
        }
        play.run(4_000, FLOOD_PER_S, any);
        let most = play.most_within_a_second();
        assert!(most <= ALLOWED, "seed {seed}: {most}");
    }
}

#[test]
fn shares_of_gateways_with_different_lists_add_up_to_the_limit_at_most() {
    let now = time::Instant::now();
    let mut random = Random(7);
    for round in 0..300 {
        let active = 1 + random.below(120) as u32;
        let requests = random.below(90) as u32;
        let region = *random_of(&mut random, &["r0", "r1", "nowhere"]);
        let mut sum = 0;
        for host in 0..active {
            // Each gateway knows all that are active, and some that have ended.
            let ended = (active..active + 60).filter(|_| random.below(3) == 0);
            let listed: Vec<_> = (0..active).chain(ended).map(location).collect();
            let mut shares = lift_dispatch::ColdShares::new(&location(host), 20_000 * MS);
            shares.record(now, &listed);
            let settled = now + 2_000 * MS;
            sum += shares.share(settled, cold_play::address(), Some(region), requests);
        }
        assert!(sum <= requests, "round {round}: {sum} of {requests}");
    }
}

fn random_of<'a, T>(random: &mut Random, values: &'a [T]) -> &'a T {
    &values[random.below(values.len() as u64) as usize]
}

#[test]
fn usual_traffic_is_rarely_held_back() {
    // Gateways of the server's region send most of its requests, in the first deployment 12 to 20 a
    // second together. A request that is held back goes to another server.
    let mostly_near = |random: &mut Random, hosts: &[u32]| loop {
        let host = any(random, hosts);
        if location(host).region == "r0" || random.below(10) == 0 {
            return host;
        }
    };
    for gateways in 12..=15 {
        for (per_s, held_percent) in [(12, 5), (16, 10), (20, 20)] {
            let mut play = Play::new(u64::from(gateways), gateways);
            play.run(2_000, 0, any);
            play.run(60_000, per_s, mostly_near);
            let held = play.held_back * 100;
            let all = play.sent + play.held_back;
            println!(
                "{gateways} gateways, {per_s} per s: {} of {all}",
                play.held_back
            );
            assert!(held <= all * held_percent, "{gateways}, {per_s}: {held}");
        }
    }
}

#[test]
fn a_gateway_that_does_not_know_the_others_sends_nothing() {
    let now = time::Instant::now();
    let mut shares = lift_dispatch::ColdShares::new(&location(1), 20_000 * MS);
    let share = |shares: &lift_dispatch::ColdShares, ms: u32| {
        shares.share(now + MS * ms, cold_play::address(), Some("r1"), 40)
    };
    assert_eq!(share(&shares, 60_000), 0);
    shares.record(now, &[location(1)]);
    assert_eq!(share(&shares, 1_000), 0);
    // Others use larger shares until they hear of it, and their requests count for 1,150 ms.
    assert_eq!(share(&shares, 1_199), 0);
    assert_eq!(share(&shares, 1_200), 40);
    shares.record(now, &[location(1), location(4)]);
    assert_eq!(share(&shares, 1_200), 20);
    // The other one may be cut off, and uses its share until it is too long without control.
    shares.record(now, &[location(1)]);
    assert_eq!(share(&shares, 19_000), 20);
    assert_eq!(share(&shares, 20_000), 40);
}

/// A share that is not computed again after a change would exceed the limit.
#[test]
fn the_revision_changes_with_the_shares() {
    let now = time::Instant::now();
    let mut random = Random(11);
    for _ in 0..200 {
        let mut shares = lift_dispatch::ColdShares::new(&location(1), 20_000 * MS);
        let share = |shares: &lift_dispatch::ColdShares, at: time::Instant| {
            shares.share(at, cold_play::address(), Some("r1"), 40)
        };
        let mut at = now;
        let mut known = (shares.update(at), share(&shares, at));
        for _ in 0..40 {
            at += MS * random.below(3_000) as u32;
            if random.below(4) == 0 {
                let listed: Vec<_> = (0..8).filter(|_| random.below(3) > 0).collect();
                let listed: Vec<_> = listed.into_iter().map(location).collect();
                shares.record(at, &listed);
            }
            let present = (shares.update(at), share(&shares, at));
            assert!(present.0 != known.0 || present.1 == known.1);
            known = present;
        }
    }
}
