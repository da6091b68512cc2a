//! Which faults come when.

use std::time;

use rand::{RngExt as _, SeedableRng as _};

use crate::{cast, fault, link_fault};

/// Shortest and longest time between two faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 50..1_400;

/// Shortest and longest duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 200..4_000;

/// A fault with its times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedFault {
    /// Time since the beginning.
    pub(crate) at: time::Duration,
    /// How long it lasts, or until a process is started again.
    pub(crate) lasts: time::Duration,
    pub(crate) fault: fault::Fault,
}

/// The faults of a seed. They overlap, come in series, and strike the same host again.
pub(crate) fn plan(seed: u64, length: time::Duration) -> Vec<PlannedFault> {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut at = time::Duration::ZERO;
    let mut may_wipe = true;
    loop {
        at += time::Duration::from_millis(rng.random_range(GAP_MS));
        if at >= length {
            return planned;
        }
        let fault = draw(&mut rng);
        // The fleet bears the loss of one disk at a time, and here there is no telling when the
        // first one has been replaced.
        if matches!(fault, fault::Fault::Wipe(_)) && !std::mem::take(&mut may_wipe) {
            continue;
        }
        planned.push(PlannedFault {
            at,
            lasts: time::Duration::from_millis(rng.random_range(DURATION_MS)),
            fault,
        });
    }
}

fn draw(rng: &mut rand::rngs::StdRng) -> fault::Fault {
    let hosts: Vec<u8> = cast::Cast::hosts().collect();
    let host = hosts[rng.random_range(0..hosts.len())];
    let engine = cast::Cast::agent(rng.random_range(0..cast::ENGINES));
    let plain = cast::Cast::plain(rng.random_range(0..cast::PLAIN_SERVERS));
    let server = if rng.random() { engine } else { plain };
    let linked = if rng.random() { host } else { server };
    match rng.random_range(0..20) {
        0 | 1 => fault::Fault::Kill(host),
        2 => fault::Fault::Pause(host),
        3 | 4 => fault::Fault::Stop(host),
        5 => fault::Fault::Reload(host),
        6 => fault::Fault::Wipe(cast::Cast::control(rng.random_range(0..cast::CONTROLS))),
        7..=9 => fault::Fault::Link(linked, draw_link(rng)),
        10 => fault::Fault::Reset(linked),
        11 => fault::Fault::Crash(server),
        12 => fault::Fault::Leave(plain),
        13 => fault::Fault::Spoil(engine),
        14 => fault::Fault::OriginDown,
        15 => fault::Fault::OriginSpoilt,
        16 => fault::Fault::Change,
        17 => fault::Fault::Revoke,
        18 => fault::Fault::NameWeights,
        _ if rng.random_bool(0.3) => fault::Fault::KillAll,
        _ => fault::Fault::Pause(host),
    }
}

fn draw_link(rng: &mut rand::rngs::StdRng) -> link_fault::LinkFault {
    match rng.random_range(0..4) {
        0 => link_fault::LinkFault::Delay(time::Duration::from_millis(rng.random_range(20..400))),
        1 => link_fault::LinkFault::CutInbound,
        2 => link_fault::LinkFault::CutOutbound,
        _ => link_fault::LinkFault::Silent,
    }
}
