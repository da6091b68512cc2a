//! Guards against weights that wait for long after the origin has come back, and against an origin
//! that is asked all the time while it is away.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Engine, Fleet, Origin, until};

const PIECES: u32 = 40;

const ABSENCE: time::Duration = time::Duration::from_millis(1_500);

/// Reads of one agent that are in progress when the origin goes away.
const READS: u32 = 2;

/// Reads of a manifest in [`ABSENCE`], at one in 100 ms.
const MAX_MANIFEST_READS: u64 = 16;

#[tokio::test(flavor = "multi_thread")]
async fn pieces_are_not_read_while_the_origin_is_away() {
    // Guards against reads that are repeated every 100 ms by each agent, all of which begin at
    // once when the origin is back.
    let origin = Origin::new(PIECES);
    origin.slow_down(time::Duration::from_millis(20));
    let engines = [Engine::holding(1), Engine::holding(1)];
    let fleet = Fleet::start(98, &origin, &engines).await;
    fleet.name(2);
    until("some pieces are read", || origin.reads() > 4).await;
    origin.set_away(true);
    tokio::time::sleep(ABSENCE).await;
    assert!(origin.refused() <= READS * 2, "{}", origin.refused());
    assert!(fleet.counted("agent.origin_away") > 0);
    origin.set_away(false);
    until("both load version 2", || {
        engines.iter().all(|e| e.version() == 2)
    })
    .await;
    assert!(engines.iter().all(|e| e.was_whole(&origin)));
    assert!(origin.reads() < PIECES * 3 / 2, "{}", origin.reads());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_is_named_during_an_absence_is_fetched_after_it() {
    // Guards against agents that give up the manifest and do not notice that the origin is back.
    let origin = Origin::new(PIECES);
    let engines = [Engine::holding(1), Engine::holding(1)];
    let fleet = Fleet::start(99, &origin, &engines).await;
    origin.set_away(true);
    fleet.name(2);
    tokio::time::sleep(ABSENCE).await;
    origin.set_away(false);
    until("both load version 2", || {
        engines.iter().all(|e| e.version() == 2)
    })
    .await;
    assert_eq!(origin.refused(), 0);
    assert!(engines.iter().all(|e| e.was_whole(&origin)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_manifest_is_read_again_with_pauses() {
    // Guards against an agent that reads the manifest again without a pause from an origin that
    // accepts connections and refuses reads.
    let origin = Origin::new(PIECES);
    let engines = [Engine::holding(1)];
    let fleet = Fleet::start(101, &origin, &engines).await;
    origin.refuse_manifests();
    fleet.name(2);
    until("the manifest is read", || origin.manifest_reads() > 0).await;
    tokio::time::sleep(ABSENCE).await;
    let reads = origin.manifest_reads();
    assert!(reads > 1, "{reads}");
    assert!(u64::from(reads) <= MAX_MANIFEST_READS, "{reads}");
    assert!(fleet.counted("agent.origin_probes") <= MAX_MANIFEST_READS);
}
