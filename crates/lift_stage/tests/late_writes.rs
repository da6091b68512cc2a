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
const STEP_TIME: time::Duration = time::Duration::from_millis(700);

/// Time after which an agent has given up a request without an answer.
const GIVEN_UP_TIME: time::Duration = time::Duration::from_millis(1_300);

/// Time in which what was held takes effect.
const EFFECT_TIME: time::Duration = time::Duration::from_millis(100);

/// An agent that fetches version 2 when something of it is late, and its backend server.
struct Play {
    origin: Origin,
    engine: Engine,
    fleet: Fleet,
    late: Hold,
}

impl Play {
    /// Names version 2 and waits until the step that `hold` returns is reached.
    async fn start(subnet: u8, hold: impl FnOnce(&Origin, &Engine) -> Hold) -> Self {
        let origin = Origin::new(PIECES);
        let engine = Engine::holding(1);
        let fleet = Fleet::start(subnet, &origin, std::slice::from_ref(&engine)).await;
        let late = hold(&origin, &engine);
        fleet.name(2);
        until("something is late", || late.is_reached()).await;
        Self {
            origin,
            engine,
            fleet,
            late,
        }
    }

    /// Ends the process of the agent and starts it again.
    async fn restart(self, subnet: u8) -> Self {
        drop(self.fleet);
        let engines = std::slice::from_ref(&self.engine);
        let fleet = Fleet::start(subnet, &self.origin, engines).await;
        Self { fleet, ..self }
    }

    /// Names version 3, lets what is late go on when the agent reaches `step` of that version, and
    /// then the step. Checks that each version was loaded whole.
    async fn name_next(&self, step: &Hold) {
        self.fleet.name(3);
        let reached = async {
            while !step.is_reached() {
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
        };
        // A step that waits for what is late is not reached.
        let _ = tokio::time::timeout(STEP_TIME, reached).await;
        self.late.release();
        tokio::time::sleep(EFFECT_TIME).await;
        step.release();
        until("it loads version 3", || self.engine.version() == 3).await;
        assert!(self.engine.was_whole(&self.origin));
    }

    fn hold_read_back(&self) -> Hold {
        self.engine.hold_read(&self.origin, 3, LATER)
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_piece_of_a_superseded_version_is_not_loaded() {
    // Guards against a piece that the origin sends after a newer version was named, which then
    // replaces the newer one between its read-back and the order (review/2).
    let play = Play::start(93, |origin, _| origin.hold_piece(2, LATE)).await;
    play.name_next(&play.hold_read_back()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_without_an_answer_is_waited_out() {
    // Guards against a write that the backend server has read but carries out after it was silent
    // for a second, when the agent has given it up and has read back the next version.
    let play = Play::start(94, |_, engine| engine.hold_write(LATE)).await;
    play.name_next(&play.hold_read_back()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_of_an_earlier_process_is_waited_out() {
    // Guards against a write that an agent has sent before it was killed, and that takes effect
    // after the next process of the agent has read back the pieces.
    let play = Play::start(95, |_, engine| engine.hold_write(LATE)).await;
    let play = play.restart(96).await;
    play.name_next(&play.hold_read_back()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_without_an_answer_is_waited_out() {
    // Guards against an order that is accepted late, when the pieces of the next version have
    // replaced some of those that it was given for.
    let play = Play::start(97, |_, engine| engine.hold_order()).await;
    tokio::time::sleep(GIVEN_UP_TIME).await;
    play.name_next(&play.engine.hold_write(LATE)).await;
}
