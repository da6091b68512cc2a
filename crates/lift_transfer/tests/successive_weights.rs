//! Guards against weights that arrive late although the links could carry them sooner. The bounds
//! come from the target of 1.3 copies.

mod weights_model;

use std::time;

use weights_model::{Play, run};

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
