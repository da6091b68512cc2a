//! Guards the safety of the replicated log on disks that forget what was not synced.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod model;

use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against two leaders in a term, two valid leases, committed entries that are
    /// lost or differ, and states that don't become equal. Messages are lost, doubled and
    /// reordered, hosts crash at any sync point with torn writes, clocks drift, and members
    /// are added and removed.
    #[test]
    fn committed_entries_survive_random_faults(
        seed in any::<u64>(),
        loss in 0_u32..25,
        doubling in 0_u32..15,
        crashes in 0_u32..12,
        changes in 0_u32..60,
        ambushes in 0_u32..40,
    ) {
        let faults = model::Faults { loss, doubling, crashes, changes, ambushes };
        let mut world = model::World::new(seed, faults);
        world.run_with_faults(5_000);
        let committed = world.run_healed(2_500);
        prop_assert!(committed > 0, "nothing was committed");
    }
}
