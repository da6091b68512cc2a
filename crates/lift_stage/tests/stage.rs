//! Agents that bring weights to backend servers of this test, over loopback.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Engine, Fleet, Origin, until};

#[tokio::test(flavor = "multi_thread")]
async fn each_piece_leaves_the_origin_about_once() {
    let origin = Origin::new(40);
    let engines: Vec<_> = (0..3).map(|_| Engine::holding(1)).collect();
    let fleet = Fleet::start(80, &origin, &engines).await;
    fleet.name(2);
    until("all load version 2", || {
        engines.iter().all(|e| e.version() == 2)
    })
    .await;
    assert!(origin.reads() < 60, "{} reads of 40 pieces", origin.reads());
    assert!(engines.iter().all(|e| e.was_whole(&origin)));
}

#[tokio::test(flavor = "multi_thread")]
async fn spoilt_pieces_are_never_loaded() {
    // Guards against answers from wrong weights: the origin sends garbage now and then, and
    // pieces turn bad in the staging area.
    let origin = Origin::new(20);
    origin.spoil_every(4);
    let engines = [Engine::holding(1), Engine::holding(1)];
    engines[0].rot(3);
    let fleet = Fleet::start(81, &origin, &engines).await;
    fleet.name(2);
    until("both load version 2", || {
        engines.iter().all(|e| e.version() == 2)
    })
    .await;
    assert!(engines.iter().all(|e| e.was_whole(&origin)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_restarts_empty_gets_its_weights_again() {
    let origin = Origin::new(10);
    let engines = [Engine::holding(1)];
    let fleet = Fleet::start(82, &origin, &engines).await;
    fleet.name(2);
    until("it loads version 2", || engines[0].version() == 2).await;
    let reads = origin.reads();
    engines[0].restart();
    until("it loads version 2 again", || engines[0].version() == 2).await;
    assert_eq!(origin.reads(), reads, "the pieces were staged still");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_server_gets_the_version_that_the_others_hold() {
    // Guards against a replica that is added and never serves, because the agents beside the
    // others do not work on the version (quiet-1 on gcrsc-haul).
    let origin = Origin::new(20);
    let engines = [Engine::staged(1, &origin), Engine::empty()];
    let _fleet = Fleet::start(83, &origin, &engines).await;
    until("it loads version 1", || engines[1].version() == 1).await;
    assert!(engines[1].was_whole(&origin));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_reports_too_many_requests_still_gets_its_weights() {
    // Guards against an agent that stops asking its server after one odd report.
    let origin = Origin::new(10);
    let engines = [Engine::holding(1)];
    engines[0].claim_requests(u32::MAX);
    let fleet = Fleet::start(90, &origin, &engines).await;
    fleet.name(2);
    until("it loads version 2", || engines[0].version() == 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_manifest_of_something_else_is_never_loaded() {
    // Guards against an order to load what is not there, after an odd answer of the origin.
    let origin = Origin::new(10);
    let digests = (0..3).map(|i| lift_stage::PieceDigest::of(&origin.bytes(7, i)));
    let manifest = lift_stage::PieceManifest {
        model: String::from("m"),
        version: 2,
        piece_bytes: 320,
        digests: digests.collect(),
    };
    origin.send_first(vec![
        lift_stage::PieceManifest {
            version: 7,
            ..manifest.clone()
        },
        lift_stage::PieceManifest {
            model: String::from("other"),
            ..manifest.clone()
        },
        lift_stage::PieceManifest {
            digests: Vec::new(),
            ..manifest
        },
    ]);
    let engines = [Engine::holding(1)];
    let fleet = Fleet::start(91, &origin, &engines).await;
    fleet.name(2);
    until("it loads version 2", || engines[0].version() == 2).await;
    assert!(engines[0].was_whole(&origin));
}

#[tokio::test(flavor = "multi_thread")]
async fn positions_beyond_the_last_piece_are_not_read() {
    // Guards against an agent that is busy with a list of its server that makes no sense.
    let origin = Origin::new(10);
    let engines = [Engine::holding(1)];
    let positions: Vec<u32> = (10..5_000).chain([u32::MAX]).collect();
    engines[0].claim_staged(&positions);
    let fleet = Fleet::start(92, &origin, &engines).await;
    fleet.name(2);
    until("it loads version 2", || engines[0].version() == 2).await;
    assert_eq!(engines[0].missed_reads(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_newer_version_ends_the_transfer_of_the_one_before() {
    let origin = Origin::new(30);
    origin.slow_down(time::Duration::from_millis(40));
    let engines = [Engine::holding(1), Engine::holding(1)];
    let fleet = Fleet::start(84, &origin, &engines).await;
    fleet.name(2);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    fleet.name(3);
    until("both load version 3", || {
        engines.iter().all(|e| e.version() == 3)
    })
    .await;
    assert!(engines.iter().all(|e| e.was_whole(&origin)));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_whose_server_is_down_holds_up_nobody() {
    // Guards against pieces that nobody reads because their home can't stage them.
    let origin = Origin::new(20);
    let engines = [Engine::holding(1), Engine::holding(1)];
    let fleet = Fleet::start(85, &origin, &engines).await;
    engines[1].go_down();
    fleet.name(2);
    until("the other one loads version 2", || {
        engines[0].version() == 2
    })
    .await;
    assert!(engines[0].was_whole(&origin));
}

#[tokio::test(flavor = "multi_thread")]
async fn any_agent_hands_out_a_manifest_that_the_origin_does_not() {
    // Guards against agents that wait for the origin although one of their region works on the
    // version (scale-1 on gcrsc-haul-grown: 45 of 76 agents, 7 s to 10 s).
    let origin = Origin::new(20);
    let engines = [Engine::holding(1), Engine::holding(1)];
    let fleet = Fleet::start(86, &origin, &engines).await;
    engines[0].go_down();
    fleet.name(2);
    until("the second one loads version 2", || {
        engines[1].version() == 2
    })
    .await;
    origin.refuse_manifests();
    engines[0].come_back();
    until("the first one loads version 2", || {
        engines[0].version() == 2
    })
    .await;
}
