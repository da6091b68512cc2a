//! Parts of a snapshot.

use std::{borrow, collections};

use crate::{change_answers, claim_group, config_state, registered_host, state};

/// Hosts of one shard.
pub(crate) type Hosts = collections::HashMap<lift_types::HostId, registered_host::RegisteredHost>;

/// One part of the state, for a snapshot. The caller encodes all parts in their order, with
/// [`StatePart::FORMAT`] before them. Parts are borrowed from the state, so that a snapshot
/// needs no copy of it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct StatePart<'a>(pub(crate) Part<'a>);

/// Contents of a part. Numbers are positions of shards.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) enum Part<'a> {
    Counters(state::Counters),
    Config(borrow::Cow<'a, config_state::ConfigState>),
    Manifest(borrow::Cow<'a, lift_types::Manifest>),
    Hosts(u16, borrow::Cow<'a, Hosts>),
    Answers(u16, borrow::Cow<'a, change_answers::ChangeAnswers>),
    Claims(u16, borrow::Cow<'a, claim_group::ClaimGroup>),
}

impl StatePart<'_> {
    /// Number of the snapshot format. It grows with each change of a type that a snapshot
    /// holds; a snapshot of another format is refused.
    pub const FORMAT: u16 = 1;

    /// Copies what is borrowed.
    pub fn into_owned(self) -> StatePart<'static> {
        let owned = match self.0 {
            Part::Counters(counters) => Part::Counters(counters),
            Part::Config(config) => Part::Config(owned(config)),
            Part::Manifest(manifest) => Part::Manifest(owned(manifest)),
            Part::Hosts(at, hosts) => Part::Hosts(at, owned(hosts)),
            Part::Answers(at, answers) => Part::Answers(at, owned(answers)),
            Part::Claims(at, group) => Part::Claims(at, owned(group)),
        };
        StatePart(owned)
    }
}

fn owned<T: Clone>(value: borrow::Cow<'_, T>) -> borrow::Cow<'static, T> {
    borrow::Cow::Owned(value.into_owned())
}
