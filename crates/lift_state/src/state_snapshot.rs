//! Export and import of the state for snapshots.

use std::borrow;

use crate::{state, state_part};

/// Number of parts besides manifests: counters, configuration, hosts, recent changes and claims.
const FIXED_PARTS: usize = 2 + 2 * state::SHARDS + state::CLAIM_KEY_GROUPS as usize;

impl state::State {
    /// Calls `f` with each part of the state. The caller must not apply commands meanwhile.
    pub fn export(&self, f: &mut dyn FnMut(state_part::StatePart<'_>)) {
        let mut emit = |part: state_part::Part<'_>| f(state_part::StatePart(part));
        let counters = self.counters.with_position(0, |counters| *counters);
        emit(state_part::Part::Counters(counters));
        self.config.with_position(0, |config| {
            emit(state_part::Part::Config(borrow::Cow::Borrowed(config)));
        });
        self.manifests.for_each(|manifests| {
            for manifest in manifests.values() {
                emit(state_part::Part::Manifest(borrow::Cow::Borrowed(manifest)));
            }
        });
        let mut shards = 0..;
        self.hosts.for_each(|hosts| {
            let shard = shards.next().unwrap_or_default();
            emit(state_part::Part::Hosts(shard, borrow::Cow::Borrowed(hosts)));
        });
        let mut shards = 0..;
        self.recent_changes.for_each(|changes| {
            let shard = shards.next().unwrap_or_default();
            emit(state_part::Part::RecentChanges(
                shard,
                borrow::Cow::Borrowed(changes),
            ));
        });
        let mut shards = 0..;
        self.claims.for_each(|group| {
            let shard = shards.next().unwrap_or_default();
            emit(state_part::Part::Claims(
                shard,
                borrow::Cow::Borrowed(group),
            ));
        });
    }

    /// Replaces the whole state. Returns `false` and changes nothing if the number of parts is
    /// wrong.
    pub fn import(&self, parts: Vec<state_part::StatePart<'_>>) -> bool {
        let is_manifest =
            |part: &&state_part::StatePart<'_>| matches!(part.0, state_part::Part::Manifest(_));
        let manifests = parts.iter().filter(is_manifest).count();
        if parts.len() != FIXED_PARTS + manifests {
            return false;
        }
        self.manifests.for_each(|manifests| manifests.clear());
        for part in parts {
            self.import_part(part.0);
        }
        true
    }

    fn import_part(&self, part: state_part::Part<'_>) {
        match part {
            state_part::Part::Counters(new) => self.counters.with_position(0, |c| *c = new),
            state_part::Part::Config(new) => {
                self.config.with_position(0, |c| *c = new.into_owned());
            }
            state_part::Part::Manifest(new) => self.insert_manifest(new.into_owned()),
            state_part::Part::Hosts(shard, new) => {
                self.hosts
                    .with_position(usize::from(shard), |hosts| *hosts = new.into_owned());
            }
            state_part::Part::RecentChanges(shard, new) => {
                self.recent_changes
                    .with_position(usize::from(shard), |changes| *changes = new.into_owned());
            }
            state_part::Part::Claims(shard, new) => {
                self.claims
                    .with_position(usize::from(shard), |group| *group = new.into_owned());
            }
        }
    }
}
