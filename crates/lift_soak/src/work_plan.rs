//! Which planned work comes when.

use std::time;

use rand::{RngExt as _, SeedableRng as _};

use crate::{cast, fault};

/// Shortest and longest time between two pieces of work, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 50..700;

/// Most signals in a row to a process that stops.
const MAX_SIGNALS: u32 = 3;

/// Longest time between two signals in a row, in milliseconds.
const MAX_SIGNAL_GAP_MS: u64 = 2_500;

/// The planned work of a seed, by the time since the beginning. It overlaps, comes in series, and
/// strikes the same host again.
pub(crate) fn plan(seed: u64, length: time::Duration) -> Vec<(time::Duration, fault::Fault)> {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut at = time::Duration::ZERO;
    loop {
        at += time::Duration::from_millis(rng.random_range(GAP_MS));
        if at >= length {
            planned.sort_by_key(|(at, _)| *at);
            return planned;
        }
        let work = draw(&mut rng);
        planned.push((at, work));
        if let fault::Fault::Stop(host) = work {
            let mut again = at;
            for _ in 1..rng.random_range(1..=MAX_SIGNALS) {
                again += time::Duration::from_millis(rng.random_range(0..MAX_SIGNAL_GAP_MS));
                planned.push((again, draw_signal(&mut rng, host)));
            }
        }
    }
}

fn draw_signal(rng: &mut rand::rngs::StdRng, host: u8) -> fault::Fault {
    match rng.random() {
        true => fault::Fault::Stop(host),
        false => fault::Fault::Reload(host),
    }
}

fn draw(rng: &mut rand::rngs::StdRng) -> fault::Fault {
    let gateway = cast::Cast::gateway(rng.random_range(0..cast::GATEWAYS));
    let hosts: Vec<u8> = cast::Cast::hosts().collect();
    let any = hosts[rng.random_range(0..hosts.len())];
    let plain = cast::Cast::plain(rng.random_range(0..cast::PLAIN_SERVERS));
    match rng.random_range(0..12) {
        0..=3 => fault::Fault::Stop(gateway),
        4 => fault::Fault::Stop(any),
        5 => fault::Fault::Reload(gateway),
        6 => fault::Fault::Resettle(gateway),
        7 => fault::Fault::Leave(plain),
        8 | 9 => fault::Fault::Change,
        10 => fault::Fault::Revoke,
        _ => fault::Fault::NameWeights,
    }
}
