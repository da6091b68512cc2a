//! Policy, audit log and versions.

use std::{collections, sync, time};

use crate::{audit_record, change_reply, config_change, invalid_value, policy_edits};

/// Maximum number of records in the audit log: about three days at 22,000 changes a day.
/// Control members hold the log in memory.
pub const MAX_AUDIT_RECORDS: usize = 65_536;

/// Maximum number of published versions. The manifest of a large version takes about 1 MB, and
/// agents keep the chunks of only a few versions. Versions that the policy uses are kept even
/// above this number.
pub const MAX_VERSIONS: usize = 64;

/// The part of the state that configuration changes read and write.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) struct ConfigState {
    pub(crate) policy: sync::Arc<lift_types::Policy>,
    audit: collections::VecDeque<audit_record::AuditRecord>,
    versions: Vec<lift_types::VersionId>,
}

impl ConfigState {
    /// Applies a change, or rejects it if it conflicts or is not valid.
    pub(crate) fn apply_change(
        &mut self,
        change: &config_change::ConfigChange,
        at: time::SystemTime,
    ) -> change_reply::ChangeReply {
        if change.expected != self.policy.revision {
            return self.conflict_reply(change.expected);
        }
        let next = match policy_edits::apply(&self.policy, change, &self.versions) {
            Ok(next) => next,
            Err(invalid_value::InvalidValue { path, problem }) => {
                return change_reply::ChangeReply::Invalid { path, problem };
            }
        };
        let revision = next.revision;
        self.policy = sync::Arc::new(next);
        if self.audit.len() >= MAX_AUDIT_RECORDS {
            self.audit.pop_front();
        }
        self.audit.push_back(audit_record::AuditRecord {
            revision,
            id: change.id.clone(),
            author: change.author.clone(),
            reason: change.reason.clone(),
            at,
            edits: change.edits.clone(),
        });
        change_reply::ChangeReply::Accepted { revision }
    }

    /// Returns up to `limit` records of changes after a revision, oldest first.
    pub(crate) fn audit(
        &self,
        after: lift_types::Revision,
        limit: usize,
    ) -> Vec<audit_record::AuditRecord> {
        let start = self.audit.partition_point(|r| r.revision <= after);
        self.audit.iter().skip(start).take(limit).cloned().collect()
    }

    /// Returns the published versions, oldest first.
    pub(crate) fn versions(&self) -> &[lift_types::VersionId] {
        &self.versions
    }

    /// Adds a version. If there are more than [`MAX_VERSIONS`], removes and returns the oldest
    /// one that the policy does not use.
    pub(crate) fn add_version(
        &mut self,
        version: lift_types::VersionId,
    ) -> Option<lift_types::VersionId> {
        let removed = if self.versions.len() >= MAX_VERSIONS {
            self.oldest_unused()
        } else {
            None
        };
        self.versions.push(version);
        removed.map(|at| self.versions.remove(at))
    }

    fn oldest_unused(&self) -> Option<usize> {
        let is_in_use = |version: &str| {
            let by_default = self.policy.default.version.as_deref() == Some(version);
            by_default
                || self.policy.exceptions.iter().any(
                    |e| matches!(&e.value, lift_types::ExceptionValue::Version(v) if v == version),
                )
        };
        self.versions.iter().position(|version| !is_in_use(version))
    }

    /// Builds the reply to a conflicting change. It describes the change that was accepted for
    /// the expected revision, or the latest change if that record is not kept.
    fn conflict_reply(&self, expected: lift_types::Revision) -> change_reply::ChangeReply {
        let at = self.audit.partition_point(|r| r.revision <= expected);
        let first = self.audit.get(at).filter(|r| r.revision == expected + 1);
        let by = first
            .or(self.audit.back())
            .map(|r| format!("{} (revision {}): {}", r.author, r.revision, r.reason));
        change_reply::ChangeReply::Conflict {
            current: self.policy.revision,
            by: by.unwrap_or_else(|| String::from("no change yet")),
        }
    }
}
