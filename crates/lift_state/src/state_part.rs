//! Parts of a snapshot.

use std::{borrow, collections};

use crate::{claim_group, config_state, recent_changes, registered_host, state};

/// Hosts of one shard.
pub(crate) type Hosts = collections::HashMap<lift_types::HostId, registered_host::RegisteredHost>;

/// One part of a snapshot. The caller encodes all parts in the order of the export, after
/// [`StatePart::FORMAT`]. Exported parts borrow from the state, so that a snapshot does not copy
/// it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct StatePart<'a>(pub(crate) Part<'a>);

/// Contents of a part. The `u16` is the position of the shard. Variants are encoded by position,
/// so their order must not change.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) enum Part<'a> {
    Counters(state::Counters),
    Config(borrow::Cow<'a, config_state::ConfigState>),
    Manifest(borrow::Cow<'a, lift_types::Manifest>),
    Hosts(u16, borrow::Cow<'a, Hosts>),
    RecentChanges(u16, borrow::Cow<'a, recent_changes::RecentChanges>),
    Claims(u16, borrow::Cow<'a, claim_group::ClaimGroup>),
}

impl StatePart<'_> {
    /// Version number of the snapshot format. It must be increased with each change of a type
    /// that is part of a snapshot. Snapshots of other formats are rejected.
    pub const FORMAT: u16 = 1;

    /// Clones borrowed data, so that the part no longer borrows from the state.
    pub fn into_owned(self) -> StatePart<'static> {
        let owned = match self.0 {
            Part::Counters(counters) => Part::Counters(counters),
            Part::Config(config) => Part::Config(owned(config)),
            Part::Manifest(manifest) => Part::Manifest(owned(manifest)),
            Part::Hosts(shard, hosts) => Part::Hosts(shard, owned(hosts)),
            Part::RecentChanges(shard, changes) => Part::RecentChanges(shard, owned(changes)),
            Part::Claims(shard, group) => Part::Claims(shard, owned(group)),
        };
        StatePart(owned)
    }
}

fn owned<T: Clone>(value: borrow::Cow<'_, T>) -> borrow::Cow<'static, T> {
    borrow::Cow::Owned(value.into_owned())
}
