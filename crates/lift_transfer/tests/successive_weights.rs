//! Guards against weights that arrive late although the links could carry them sooner. The bounds
//! come from the target of 1.3 copies.

mod weights_model;

use std::time;

use weights_model::{MS, Outcome, Play, run};

const LIMIT: time::Duration = time::Duration::from_secs(40);

/// Time of a transfer as a multiple of that of one copy over the slowest link.
const TARGET: f64 = 1.3;

#[test]
fn a_piece_that_other_regions_lack_is_sent_to_them_first() {
    // Guards against regions that get each piece only after the neighbours of the host that has
    // read it: the last host was complete after 3.9 s, 1.47 times the time of a copy.
    let play = Play::second();
    let out = run(&play, LIMIT);
    let limit = play.copy_time().mul_f64(TARGET);
    assert!(out.last() < limit, "{:?}", out.last());
    assert_eq!(out.origin_reads, play.pieces);
}

#[test]
fn the_link_of_the_origin_is_the_limit_where_it_is_the_slowest() {
    // Guards against an exchange that is slower than the origin.
    let play = Play::first();
    let out = run(&play, LIMIT);
    let limit = play.copy_time().mul_f64(TARGET);
    assert!(out.last() < limit, "{:?}", out.last());
    assert_eq!(out.origin_reads, play.pieces);
}

/// Plays with the origin away for 6 s from each of some moments on.
fn absences(play: &Play) -> impl Iterator<Item = (Play, Outcome)> {
    (0..4_000).step_by(250).map(|from| {
        let from = from as u32 * MS;
        let away = Some((from, from + 6_000 * MS));
        let play = Play {
            away,
            ..play.clone()
        };
        let out = run(&play, LIMIT);
        (play, out)
    })
}

#[test]
fn an_origin_that_comes_back_is_read_in_turn() {
    // Guards against agents that all read at once when the origin is back, so that no piece is
    // complete for seconds: the last host had all pieces 4.8 s after its return where one copy
    // takes 2.6 s, and 6.5 s where it takes 4.3 s.
    for play in [Play::first(), Play::second()] {
        for (play, out) in absences(&play) {
            let from = play.away.map_or(time::Duration::ZERO, |(_, to)| to);
            let limit = from + play.copy_time().mul_f64(TARGET);
            assert!(out.last() < limit, "{:?}: {:?}", play.away, out.last());
            assert!(
                out.connections <= play.connections / 2,
                "{}",
                out.connections
            );
        }
    }
}

#[test]
fn an_absence_of_the_origin_costs_few_reads() {
    // Guards against pieces that are read from the origin more than once. Those that it was
    // sending when it went away are read again.
    for play in [Play::first(), Play::second()] {
        for (play, out) in absences(&play) {
            let reads = out.origin_reads;
            assert!(reads <= play.pieces * 21 / 20, "{:?}: {reads}", play.away);
        }
    }
}

#[test]
fn hosts_behind_narrow_links_use_them() {
    // Guards against hosts with a quarter of the usual rate that get pieces slower than their link
    // carries them, and against others that wait for as long.
    for play in [Play::first(), Play::second()] {
        let play = Play {
            narrow: vec![1, 6, 11],
            ..play
        };
        let out = run(&play, LIMIT);
        let bytes = f64::from(play.piece_bytes) * f64::from(play.pieces);
        let copy = time::Duration::from_secs_f64(bytes * 4.0 / play.host_rate);
        assert!(out.last() < copy.mul_f64(TARGET), "{:?}", out.last());
        let others = out.whole.iter().filter(|(h, _)| !play.narrow.contains(h));
        assert!(others.map(|(_, at)| *at).all(|at| at < copy));
    }
}

#[test]
fn corrupt_pieces_cost_the_reads_that_replace_them() {
    // Guards against a corrupt piece that holds up the exchange or is read from the origin by many
    // agents.
    for play in [Play::first(), Play::second()] {
        let play = Play {
            corrupt_every: 8,
            ..play
        };
        let out = run(&play, LIMIT);
        let share = f64::from(out.origin_reads) / f64::from(play.pieces);
        let limit = play.copy_time().mul_f64(TARGET * share);
        assert!(out.last() < limit, "{:?}", out.last());
        let sound = out.origin_reads - out.origin_reads / play.corrupt_every;
        assert!(sound <= play.pieces * 21 / 20, "{sound}");
    }
}

#[test]
fn pieces_that_all_hosts_hold_are_not_sent() {
    // Guards against a version that takes as long as a whole one although it shares pieces with
    // the one before.
    let play = Play {
        shared: 24,
        ..Play::second()
    };
    let out = run(&play, LIMIT);
    assert_eq!(out.origin_reads, play.pieces - play.shared);
    assert!(out.last() < play.copy_time(), "{:?}", out.last());
}
