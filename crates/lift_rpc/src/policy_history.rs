//! The last policies, from which differences are made.

use std::{collections, sync};

use crate::policy_update;

/// Policies that are kept. A node that is further behind gets the whole policy.
const KEPT: usize = 16;

#[derive(Debug, Default)]
struct History {
    policies: collections::VecDeque<sync::Arc<lift_types::Policy>>,
    /// The last update that was made. Most nodes need the same one.
    last: Option<(lift_types::Revision, policy_update::PolicyUpdate)>,
}

/// Recent policies of one server, under one lock.
#[derive(Debug)]
pub(crate) struct PolicyHistory {
    history: lift_shard::Shards<History>,
}

impl PolicyHistory {
    pub(crate) fn new() -> Self {
        Self {
            history: lift_shard::Shards::new(1, |_| History::default()),
        }
    }

    /// Update for a node that has revision `known`; `None` where it needs none.
    pub(crate) fn update(
        &self,
        known: lift_types::Revision,
        current: &sync::Arc<lift_types::Policy>,
    ) -> Option<policy_update::PolicyUpdate> {
        self.history.with_position(0, |history| {
            history.note(current);
            (known < current.revision).then(|| history.update(known, current))
        })
    }
}

impl History {
    fn note(&mut self, current: &sync::Arc<lift_types::Policy>) {
        let newest = self.policies.back().map_or(0, |p| p.revision);
        if !self.policies.is_empty() && newest >= current.revision {
            return;
        }
        if self.policies.len() >= KEPT {
            self.policies.pop_front();
        }
        self.policies.push_back(sync::Arc::clone(current));
    }

    fn update(
        &mut self,
        known: lift_types::Revision,
        current: &sync::Arc<lift_types::Policy>,
    ) -> policy_update::PolicyUpdate {
        if let Some((from, update)) = &self.last
            && *from == known
            && update.revision() == current.revision
        {
            return update.clone();
        }
        let old = self.policies.iter().find(|p| p.revision == known);
        let delta = old.and_then(|old| lift_state::PolicyDelta::between(old, current));
        let update = match delta {
            Some(delta) => policy_update::PolicyUpdate::Delta(delta),
            None => policy_update::PolicyUpdate::Full(current.as_ref().clone()),
        };
        self.last = Some((known, update.clone()));
        update
    }
}
