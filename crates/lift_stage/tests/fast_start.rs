//! Guards against a transfer that begins late, and against pieces that are fetched although they
//! lie in the staging area.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Engine, Fleet, Origin, until};

const PIECES: u32 = 20;

/// Time of a read of the staging area.
const READ_TIME: time::Duration = time::Duration::from_millis(20);

#[tokio::test(flavor = "multi_thread")]
async fn a_version_is_fetched_without_reading_the_one_before() {
    // Guards against a transfer that begins after all pieces of the older version were read, and
    // against other agents that wait for the manifest meanwhile.
    let origin = Origin::new(PIECES);
    let engines = [Engine::staged(1, &origin)];
    engines[0].slow_reads(READ_TIME, true);
    let fleet = Fleet::start(60, &origin, &engines).await;
    until("the pieces of version 1 are known", || {
        engines[0].reads() >= PIECES
    })
    .await;
    tokio::time::sleep(READ_TIME * 3).await;
    let reads = engines[0].reads();
    fleet.name(2);
    until("the origin is read", || origin.reads() > 0).await;
    assert_eq!(engines[0].reads(), reads);
    until("it loads version 2", || engines[0].version() == 2).await;
    assert!(engines[0].was_whole(&origin));
}

#[tokio::test(flavor = "multi_thread")]
async fn pieces_that_two_versions_share_are_not_fetched() {
    // Guards against bytes from the origin that lie in the staging area already, and against a
    // piece that is taken for shared although it has turned bad.
    let origin = Origin::new(PIECES);
    origin.share_pieces(15);
    let engines = [Engine::staged(1, &origin)];
    let fleet = Fleet::start(61, &origin, &engines).await;
    until("the pieces of version 1 are known", || {
        engines[0].reads() >= PIECES
    })
    .await;
    engines[0].spoil(3);
    fleet.name(2);
    until("it loads version 2", || engines[0].version() == 2).await;
    assert_eq!(origin.reads(), 6);
    assert!(engines[0].was_whole(&origin));
}
