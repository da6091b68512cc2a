//! Pieces that turn bad between their check and the order to load them.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Engine, Fleet, Origin, until};

/// Time for which a piece may have been spoilt when it is loaded.
const SPOILT_GRACE: time::Duration = time::Duration::from_secs(3);

/// Pieces, and the time to read one. All of them one after the other take longer than
/// [`SPOILT_GRACE`].
const PIECES: u32 = 96;
const READ_TIME: time::Duration = time::Duration::from_millis(45);

#[tokio::test(flavor = "multi_thread")]
async fn a_piece_that_turns_bad_during_a_slow_check_is_not_loaded() {
    // Guards against weights that are loaded on a check that began seconds ago.
    let origin = Origin::new(PIECES);
    let engine = Engine::holding(1);
    engine.slow_reads(READ_TIME, false);
    engine.spoil_after_read(0, PIECES);
    let fleet = Fleet::start(98, &origin, std::slice::from_ref(&engine)).await;
    fleet.name(2);
    until("it loads version 2", || engine.version() == 2).await;
    assert!(engine.oldest_spoilt() < SPOILT_GRACE);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_too_slow_to_be_checked_gets_no_order_until_it_is_faster() {
    // Guards against an order on a check that is old by the time it is complete.
    let origin = Origin::new(PIECES);
    let engine = Engine::holding(1);
    engine.slow_reads(READ_TIME, true);
    let fleet = Fleet::start(99, &origin, std::slice::from_ref(&engine)).await;
    fleet.name(2);
    let is_given_up = || fleet.counted("agent.check_too_old") > 0;
    until("a check takes too long", is_given_up).await;
    assert_eq!(engine.version(), 1);
    engine.slow_reads(time::Duration::ZERO, false);
    until("it loads version 2", || engine.version() == 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_is_accepted_long_after_its_check_is_counted() {
    // Guards against a load on an old check that nobody hears of.
    let origin = Origin::new(PIECES);
    let engine = Engine::holding(1);
    let order = engine.hold_order();
    let fleet = Fleet::start(100, &origin, std::slice::from_ref(&engine)).await;
    fleet.name(2);
    until("the order is sent", || order.is_reached()).await;
    tokio::time::sleep(SPOILT_GRACE).await;
    assert_eq!(fleet.counted("agent.check_outlived"), 0);
    order.release();
    until("it is counted", || {
        fleet.counted("agent.check_outlived") == 1
    })
    .await;
}
