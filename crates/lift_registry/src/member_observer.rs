//! Handles updates from the feeds of the other members.

use std::{sync, time};

use tokio::sync::watch;

use crate::registry;

/// Merges the directories and the times of namings of the other members into the own ones, and
/// detects that this member was removed.
#[derive(Debug)]
pub(crate) struct MemberObserver {
    pub(crate) registry: sync::Arc<registry::Registry>,
    /// Identifier under which this member was removed, or `None`. A removal is detected by a
    /// list of members that does not contain this member although its highest identifier is not
    /// below this member's; a lower one may be from before this member joined.
    pub(crate) removed: watch::Sender<Option<lift_types::MemberId>>,
}

impl lift_feed::FleetObserver for MemberObserver {
    fn on_backends(&self, records: Vec<lift_fleet::BackendRecord>) {
        self.registry.merge(lift_clock::now(), &records);
    }

    fn on_weights(
        &self,
        model: &lift_fleet::ModelName,
        version: lift_fleet::WeightsVersion,
        not_before: Option<time::Instant>,
    ) {
        let state_machine = &self.registry.state_machine;
        state_machine.learn_naming(model, version, not_before);
    }

    fn on_leader_head(&self, asked_at: time::Instant, head: &lift_feed::FleetHead) {
        self.registry
            .state_machine
            .record_leader_head(asked_at, head);
    }

    fn on_members(&self, members: &[lift_feed::MemberCard], highest: lift_types::MemberId) {
        let Some(log) = self.registry.current_log.get() else {
            return;
        };
        let id = log.members().id;
        let is_listed = members.iter().any(|m| m.id == id);
        if !is_listed && highest >= id && !members.is_empty() {
            self.removed.send_if_modified(|removed| {
                let is_new = *removed != Some(id);
                *removed = Some(id);
                is_new
            });
        }
    }
}
