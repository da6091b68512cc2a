//! Writes to a staging area and orders to load it that take effect late. Guards against weights
//! that are loaded with a piece of another version.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Engine, Fleet, Hold, Origin, until};

const PIECES: u32 = 20;

/// A piece that comes late, and one that is read back after it.
const LATE: u32 = 5;
const LATER: u32 = 15;

/// Time in which the next version is fetched and its read-back reaches [`LATER`], if nothing holds
/// it up. It is shorter than the time after which an agent gives up a request.
const READ_BACK_TIME: time::Duration = time::Duration::from_millis(700);

/// Time after which an agent has given up a request without an answer.
const GIVEN_UP_TIME: time::Duration = time::Duration::from_millis(1_300);

/// Time in which what was held takes effect.
const EFFECT_TIME: time::Duration = time::Duration::from_millis(100);

/// Waits for the read-back of the next version, lets a late write go on during it, and then the
/// read-back.
async fn write_during_read_back(late: &Hold, read_back: &Hold) {
    let reached = async {
        while !read_back.is_reached() {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    };
    // A read-back that waits for the late write is not reached.
    let _ = tokio::time::timeout(READ_BACK_TIME, reached).await;
    late.release();
    tokio::time::sleep(EFFECT_TIME).await;
    read_back.release();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_piece_of_a_superseded_version_is_not_loaded() {
    // Guards against a piece that the origin sends after a newer version was named, which then
    // replaces the newer one between its read-back and the order (review/2).
    let origin = Origin::new(PIECES);
    let engine = Engine::holding(1);
    let fleet = Fleet::start(93, &origin, std::slice::from_ref(&engine)).await;
    let late = origin.hold_piece(2, LATE);
    let read_back = engine.hold_read(&origin, 3, LATER);
    fleet.name(2);
    until("the piece is late", || late.is_reached()).await;
    fleet.name(3);
    write_during_read_back(&late, &read_back).await;
    until("it loads version 3", || engine.version() == 3).await;
    assert!(engine.was_whole(&origin));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_without_an_answer_is_waited_out() {
    // Guards against a write that the backend server has read but carries out after it was silent
    // for a second, when the agent has given it up and has read back the next version.
    let origin = Origin::new(PIECES);
    let engine = Engine::holding(1);
    let fleet = Fleet::start(94, &origin, std::slice::from_ref(&engine)).await;
    let late = engine.hold_write(LATE);
    let read_back = engine.hold_read(&origin, 3, LATER);
    fleet.name(2);
    until("the write is late", || late.is_reached()).await;
    fleet.name(3);
    write_during_read_back(&late, &read_back).await;
    until("it loads version 3", || engine.version() == 3).await;
    assert!(engine.was_whole(&origin));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_of_an_earlier_process_is_waited_out() {
    // Guards against a write that an agent has sent before it was killed, and that takes effect
    // after the next process of the agent has read back the pieces.
    let origin = Origin::new(PIECES);
    let engine = Engine::holding(1);
    let fleet = Fleet::start(95, &origin, std::slice::from_ref(&engine)).await;
    let late = engine.hold_write(LATE);
    let read_back = engine.hold_read(&origin, 3, LATER);
    fleet.name(2);
    until("the write is late", || late.is_reached()).await;
    drop(fleet);
    let fleet = Fleet::start(96, &origin, std::slice::from_ref(&engine)).await;
    fleet.name(3);
    write_during_read_back(&late, &read_back).await;
    until("it loads version 3", || engine.version() == 3).await;
    assert!(engine.was_whole(&origin));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_without_an_answer_is_waited_out() {
    // Guards against an order that is accepted late, when the pieces of the next version have
    // replaced some of those that it was given for.
    let origin = Origin::new(PIECES);
    let engine = Engine::holding(1);
    let fleet = Fleet::start(97, &origin, std::slice::from_ref(&engine)).await;
    let late = engine.hold_order();
    fleet.name(2);
    until("the order is late", || late.is_reached()).await;
    tokio::time::sleep(GIVEN_UP_TIME).await;
    let other = engine.hold_write(LATE);
    fleet.name(3);
    let replaced = async {
        while !other.is_reached() {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    };
    // Writes that wait for the order are not reached.
    let _ = tokio::time::timeout(READ_BACK_TIME, replaced).await;
    late.release();
    tokio::time::sleep(EFFECT_TIME).await;
    other.release();
    until("it loads version 3", || engine.version() == 3).await;
    assert!(engine.was_whole(&origin));
}
