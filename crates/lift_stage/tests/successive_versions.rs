//! Guards against a version that is dropped when nearly all of it is there, and against one that
//! holds up the next.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Engine, Fleet, Origin, until};

const PIECES: u32 = 30;

/// Time for which an older version may be used.
const GRACE: time::Duration = time::Duration::from_secs(20);

/// Time in which the next naming reaches the agents.
const NAMING_TIME: time::Duration = time::Duration::from_millis(200);

#[tokio::test(flavor = "multi_thread")]
async fn a_nearly_complete_version_is_loaded_before_a_newer_one() {
    // Guards against servers that get neither of two versions, because the first is dropped for
    // the second, which the origin does not hand out for seconds.
    let origin = Origin::new(PIECES);
    let engines = [Engine::holding(1)];
    let fleet = Fleet::start_with_grace(62, &origin, &engines, GRACE).await;
    let last = origin.hold_piece(2, PIECES - 1);
    fleet.name(2);
    until("one piece is missing", || {
        last.is_reached() && origin.reads() >= PIECES
    })
    .await;
    fleet.name(3);
    until("it finishes version 2 first", || {
        fleet.counted("agent.older_finished_first") > 0
    })
    .await;
    last.release();
    until("it loads version 3", || engines[0].version() == 3).await;
    assert_eq!(engines[0].ordered(), [2, 3]);
    assert!(engines[0].was_whole(&origin));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_whose_order_is_refused_once_is_still_loaded() {
    // Guards against a complete version that is dropped for a newer one because an order that the
    // server refused counts as its load.
    let origin = Origin::new(PIECES);
    let engines = [Engine::holding(1)];
    let fleet = Fleet::start_with_grace(65, &origin, &engines, GRACE).await;
    let last = origin.hold_piece(2, PIECES - 1);
    fleet.name(2);
    until("one piece is missing", || {
        last.is_reached() && origin.reads() >= PIECES
    })
    .await;
    engines[0].refuse_order();
    fleet.name(3);
    until("it finishes version 2 first", || {
        fleet.counted("agent.older_finished_first") > 0
    })
    .await;
    last.release();
    until("it loads version 3", || engines[0].version() == 3).await;
    assert_eq!(engines[0].ordered(), [2, 3]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_whose_time_is_nearly_over_is_dropped() {
    // Guards against a newer version that comes late because an older one is finished that gets
    // no requests any more.
    let origin = Origin::new(PIECES);
    let engines = [Engine::holding(1)];
    let grace = time::Duration::from_secs(2);
    let fleet = Fleet::start_with_grace(63, &origin, &engines, grace).await;
    let last = origin.hold_piece(2, PIECES - 1);
    fleet.name(2);
    until("one piece is missing", || {
        last.is_reached() && origin.reads() >= PIECES
    })
    .await;
    fleet.name(3);
    tokio::time::sleep(NAMING_TIME).await;
    last.release();
    until("it loads version 3", || engines[0].version() == 3).await;
    assert_eq!(engines[0].ordered(), [3]);
    assert!(engines[0].was_whole(&origin));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_whose_last_piece_does_not_come_is_dropped() {
    // Guards against a host that waits for a piece of an older version as long as that has time,
    // although the newer version can be read.
    let origin = Origin::new(PIECES);
    let engines = [Engine::holding(1)];
    let fleet = Fleet::start_with_grace(64, &origin, &engines, GRACE).await;
    let last = origin.hold_piece(2, PIECES - 1);
    fleet.name(2);
    until("one piece is missing", || {
        last.is_reached() && origin.reads() >= PIECES
    })
    .await;
    fleet.name(3);
    until("it loads version 3", || engines[0].version() == 3).await;
    assert_eq!(engines[0].ordered(), [3]);
    assert!(engines[0].was_whole(&origin));
}
