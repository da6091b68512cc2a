//! Guards against servers without a version that they may use, when a version is set while the one
//! before it is on its way.

use std::time;

use lift_transfer::{VersionChoice, VersionDecision};

const MS: time::Duration = time::Duration::from_millis(1);

const STEP: time::Duration = time::Duration::from_millis(10);

const PIECES: f64 = 48.0;

/// Pieces that leave the origin, and that a host gets, in one step.
const RATES: (f64, f64) = (0.229, 0.18);

const LOAD: time::Duration = time::Duration::from_millis(1_900);

/// Time for which an older version gets requests: 85% of 9.7 s.
const GRACE: time::Duration = time::Duration::from_millis(8_245);

/// Longest delay of a version that is set last, if the origin answers.
const LATEST: time::Duration = GRACE;

/// Versions set at these times after the first one, and the absence of the origin.
#[derive(Clone, Debug)]
struct Play {
    set_at: Vec<time::Duration>,
    away: (time::Duration, time::Duration),
    turn: time::Duration,
    chooses: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Time in which the server held no version that it may use.
    unserved: time::Duration,
    /// When each version was in place.
    in_place: Vec<(usize, time::Duration)>,
}

/// Plays one agent. The server holds version 0 when version 1 is set.
fn run(play: &Play) -> Outcome {
    let mut out = Outcome::default();
    let (mut held, mut target, mut has_finished) = (0, 0, false);
    let (mut pieces, mut read) = (0.0_f64, 0.0_f64);
    let mut complete_at: Option<time::Duration> = None;
    let mut now = time::Duration::ZERO;
    while held < play.set_at.len() && now < 60_000 * MS {
        let newest = play.set_at.iter().filter(|at| **at <= now).count();
        let is_away = (play.away.0..play.away.1).contains(&now);
        let is_older = target > held && target < newest;
        let time_left = play.set_at.get(target).map(|at| *at + GRACE);
        let choice = VersionChoice {
            missing: (PIECES - pieces).ceil() as u32,
            without_holder: (PIECES - read).ceil() as u32,
            pieces: PIECES as u32,
            origin_answers: !is_away,
            is_dropped: false,
            is_overdue: false,
            origin_piece_time: STEP.div_f64(RATES.0),
            link_piece_time: STEP.div_f64(RATES.1),
            turn: complete_at.map_or(play.turn, |at| (at + play.turn).saturating_sub(now)),
            time_left: time_left.unwrap_or_default().saturating_sub(now),
            has_finished,
        };
        let keeps = play.chooses && choice.decide().is_older();
        let is_ordered = complete_at.is_some_and(|at| now >= at + play.turn);
        if target < newest && (target == held || (is_older && !keeps && !is_ordered)) {
            (target, pieces, read, complete_at) = (newest, 0.0, 0.0, None);
        }
        if target > held {
            read = (read + if is_away { 0.0 } else { RATES.0 }).min(PIECES);
            pieces = (pieces + RATES.1).min(read);
        }
        if pieces >= PIECES {
            let at = *complete_at.get_or_insert(now);
            let turn = if target < newest {
                play.turn
            } else {
                time::Duration::ZERO
            };
            if now >= at + turn + LOAD {
                has_finished = target < newest;
                held = target;
                out.in_place.push((held, now));
            }
        }
        let used_until = play.set_at.get(held).map(|at| *at + GRACE);
        if used_until.is_some_and(|until| now > until) {
            out.unserved += STEP;
        }
        now += STEP;
    }
    out
}

/// Plays of two versions set 0.5 s to 6 s apart, with the origin away for 6 s from each moment on.
fn plays() -> impl Iterator<Item = Play> {
    (500..=6_000).step_by(500).flat_map(|gap| {
        (0..=9_000).step_by(250).flat_map(move |from| {
            [0, 1_900].into_iter().map(move |turn| Play {
                set_at: vec![time::Duration::ZERO, gap * MS],
                away: (from * MS, from * MS + 6_000 * MS),
                turn: turn * MS,
                chooses: true,
            })
        })
    })
}

/// Time that a choice saves, and that it costs, in which the server holds no version to use.
fn compare(play: &Play) -> (time::Duration, time::Duration) {
    let newest = Play {
        chooses: false,
        ..play.clone()
    };
    let (chosen, newest) = (run(play).unserved, run(&newest).unserved);
    (newest.saturating_sub(chosen), chosen.saturating_sub(newest))
}

#[test]
fn an_older_version_is_kept_at_no_cost_while_the_origin_is_away() {
    // Guards against servers that get neither of two versions although the first needs a few pieces
    // that other agents hold, and the second can't be read.
    let is_away = |play: &Play| (play.away.0..play.away.1).contains(&play.set_at[1]);
    let mut saved = time::Duration::ZERO;
    for play in plays().filter(is_away) {
        let (gain, cost) = compare(&play);
        assert!(cost.is_zero(), "{play:?}: {cost:?}");
        saved += gain;
    }
    assert!(saved > time::Duration::ZERO);
}

#[test]
fn finishing_an_older_version_saves_more_than_it_costs() {
    // Guards against a choice that leaves servers without a version for longer, over all moments at
    // which the origin may go away. It costs service if the origin goes away when the newer
    // version would have been complete without it.
    let (mut saved, mut lost) = (time::Duration::ZERO, time::Duration::ZERO);
    for play in plays() {
        let (gain, cost) = compare(&play);
        saved += gain;
        lost += cost;
    }
    assert!(saved > lost, "saved {saved:?}, lost {lost:?}");
}

#[test]
fn the_newest_version_is_in_place_in_its_own_time() {
    // Guards against a newer version that is late because an older one was finished.
    for play in plays() {
        let play = Play {
            away: (time::Duration::ZERO, time::Duration::ZERO),
            ..play
        };
        let out = run(&play);
        let last = out.in_place.last().map(|(_, at)| *at);
        let limit = play.set_at[1] + LATEST;
        assert!(last.is_some_and(|at| at <= limit), "{play:?}: {out:?}");
    }
}

#[test]
fn a_succession_of_versions_keeps_no_host_behind() {
    // Guards against a host that finishes one older version after the other and never loads one
    // that may still be used.
    for gap in (500..=6_000).step_by(500) {
        let play = Play {
            set_at: (0..12).map(|i| gap * i * MS).collect(),
            away: (time::Duration::ZERO, time::Duration::ZERO),
            turn: 1_900 * MS,
            chooses: true,
        };
        let out = run(&play);
        let newest = Play {
            chooses: false,
            ..play.clone()
        };
        assert!(out.unserved <= run(&newest).unserved, "{gap}: {out:?}");
        let last = out.in_place.last().map(|(_, at)| *at);
        let limit = play.set_at[11] + LATEST;
        assert!(last.is_some_and(|at| at <= limit), "{gap}: {out:?}");
    }
}

fn choice() -> VersionChoice {
    VersionChoice {
        missing: 6,
        without_holder: 2,
        pieces: 48,
        origin_answers: true,
        is_dropped: false,
        is_overdue: false,
        origin_piece_time: 44 * MS,
        link_piece_time: 54 * MS,
        turn: time::Duration::ZERO,
        time_left: GRACE,
        has_finished: false,
    }
}

#[test]
fn each_reason_is_told_apart() {
    // Guards against a log line that names another reason than the one that decided.
    use VersionDecision as Decision;
    let far = VersionChoice {
        missing: 20,
        without_holder: 10,
        ..choice()
    };
    let away = VersionChoice {
        origin_answers: false,
        ..choice()
    };
    let dropped = VersionChoice {
        is_dropped: true,
        ..choice()
    };
    let overdue = VersionChoice {
        is_overdue: true,
        ..choice()
    };
    let finished = VersionChoice {
        has_finished: true,
        ..choice()
    };
    let late = VersionChoice {
        time_left: 3_000 * MS,
        ..choice()
    };
    let delaying = VersionChoice {
        time_left: 4_000 * MS,
        ..choice()
    };
    let waiting = VersionChoice {
        missing: 0,
        without_holder: 0,
        turn: 1_000 * MS,
        ..choice()
    };
    let waiting_incomplete = VersionChoice {
        turn: 1_900 * MS,
        time_left: 11_390 * MS,
        ..choice()
    };
    assert_eq!(waiting.decide(), Decision::NewerOlderWaits);
    // Its last pieces would be fetched only to be dropped when they are there.
    assert_eq!(waiting_incomplete.decide(), Decision::NewerOlderWaits);
    assert_eq!(choice().decide(), Decision::OlderNearlyComplete);
    assert_eq!(far.decide(), Decision::NewerOlderIncomplete);
    assert_eq!(away.decide(), Decision::OlderOriginAway);
    assert_eq!(dropped.decide(), Decision::NewerOlderDropped);
    assert_eq!(overdue.decide(), Decision::NewerOlderOverdue);
    assert_eq!(finished.decide(), Decision::NewerAfterFinish);
    assert_eq!(late.decide(), Decision::NewerOlderTooLate);
    assert_eq!(delaying.decide(), Decision::NewerWouldBeLate);
}
