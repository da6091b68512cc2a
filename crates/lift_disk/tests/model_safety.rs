//! Guards against violations of the safety of the replicated log when crashes lose unsynced
//! data.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod model;

use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against two leaders in a term, two valid leases, committed entries that are
    /// lost or differ, and replicas that don't converge. Messages are lost, duplicated and
    /// reordered, hosts crash at any sync point with torn writes, clocks drift, and members
    /// are added and removed.
    #[test]
    fn committed_entries_survive_random_faults(
        seed in any::<u64>(),
        loss in 0_u32..25,
        duplication in 0_u32..15,
        crashes in 0_u32..12,
        changes in 0_u32..60,
        acknowledgment_crashes in 0_u32..40,
    ) {
        let faults = model::Faults { loss, duplication, crashes, changes, acknowledgment_crashes };
        let mut cluster = model::Cluster::new(seed, faults);
        cluster.run_with_faults(5_000);
        let committed = cluster.run_without_faults(2_500);
        prop_assert!(committed > 0, "nothing was committed");
    }
}
