//! Compares downloads with a naive run in which every host reads each chunk from the origin.
//!
//! Guards against a download that does not finish, ends with other chunks than the naive run, or
//! reads the origin more often.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod virtual_fleet;

use std::time::Duration;

use lift_types::TransferGoal;
use proptest::prelude::*;
use virtual_fleet::{Scenario, run, run_naive};

/// Virtual time after which an unfinished download counts as failed.
const LIMIT: Duration = Duration::from_secs(600);

fn scenario() -> impl Strategy<Value = Scenario> {
    let size = (2_u32..14, 1_u32..4, 1_u32..80);
    let faults = (
        0_u32..20,
        0_u32..20,
        prop::collection::vec((any::<u32>(), any::<u16>()), 0..3),
    );
    (size, faults, any::<bool>(), any::<u64>()).prop_map(|(size, faults, is_time, seed)| {
        let (hosts, regions, chunks) = size;
        let (corrupt, failing, lost) = faults;
        // At least one host remains.
        let lost = lost.into_iter().take(hosts as usize - 1);
        Scenario {
            hosts,
            regions: regions.min(hosts),
            chunks,
            goal: if is_time {
                TransferGoal::Time
            } else {
                TransferGoal::Origin
            },
            corrupt,
            failing,
            lost: lost
                .map(|(host, after)| (host % hosts, after % 4_000))
                .collect(),
            seed,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]

    #[test]
    fn every_host_ends_with_the_same_chunks_as_in_the_naive_run(scenario in scenario()) {
        let (expected, actual) = (run_naive(&scenario), run(&scenario, LIMIT));
        prop_assert_eq!(&actual.held, &expected.held);
        prop_assert!(actual.origin_reads <= expected.origin_reads);
    }

    #[test]
    fn each_chunk_is_read_from_the_origin_once_without_faults(scenario in scenario()) {
        let goal = TransferGoal::Origin;
        let scenario = Scenario { corrupt: 0, failing: 0, lost: Vec::new(), goal, ..scenario };
        let actual = run(&scenario, LIMIT);
        prop_assert_eq!(&actual.held, &run_naive(&scenario).held);
        prop_assert_eq!(actual.origin_reads, u64::from(scenario.chunks));
    }
}
