//! Directory of backend servers.

use std::time;

use crate::{announcement, backend_id, backend_record, backend_state, update_outcome};

/// Time after its last heartbeat or its deregistration for which a gone or silent backend server
/// is kept, so that a delayed heartbeat does not add it again. Network partitions delay
/// heartbeats by about ten seconds.
const RETAIN_FOR: time::Duration = time::Duration::from_secs(60);

/// Merges announcements that arrive late, repeatedly and over several paths.
///
/// The result does not depend on the order of arrival: for each identifier, the announcement
/// with the latest start and then the highest sequence wins, and for each address the backend
/// server that started last. Nodes that have received the same announcements therefore have the
/// same directory, except that a backend server replaced at its address is listed as gone only
/// where its own announcement arrived first.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: indexmap::IndexMap<backend_id::BackendId, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    record: backend_record::BackendRecord,
    last_seen: time::Instant,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an announcement that was received at `now`.
    pub fn apply_announcement(
        &mut self,
        now: time::Instant,
        announcement: announcement::Announcement,
    ) -> update_outcome::UpdateOutcome {
        if self.has_newer_at_address(&announcement) {
            return update_outcome::UpdateOutcome::Stale;
        }
        let record = backend_record::BackendRecord {
            announcement,
            is_silent: false,
        };
        let Some(entry) = self.entries.get_mut(&record.announcement.id) else {
            self.mark_predecessors_gone(&record.announcement);
            let id = record.announcement.id.clone();
            self.entries.insert(
                id,
                Entry {
                    record,
                    last_seen: now,
                },
            );
            return update_outcome::UpdateOutcome::Changed;
        };
        let known = &entry.record;
        let is_same_start = record.announcement.started_at == known.announcement.started_at;
        let was_gone = known.announcement.state == backend_state::BackendState::Gone;
        if is_same_start && was_gone {
            return update_outcome::UpdateOutcome::Stale;
        }
        // A deregistration is final for one start of a server. The member that received it may have
        // missed heartbeats, so its record can have a lower sequence than the one known here.
        let is_gone = record.announcement.state == backend_state::BackendState::Gone;
        let is_final = is_same_start && is_gone;
        if !is_final && !record.announcement.is_newer_than(&known.announcement) {
            return update_outcome::UpdateOutcome::Stale;
        }
        let age = now.saturating_duration_since(entry.last_seen);
        let has_turned_cold = record
            .announcement
            .has_turned_cold(&known.announcement, age);
        let is_refresh = !known.is_silent
            && !has_turned_cold
            && record.announcement.has_same_content(&known.announcement);
        *entry = Entry {
            record,
            last_seen: now,
        };
        if is_refresh {
            return update_outcome::UpdateOutcome::Refreshed;
        }
        let announcement = entry.record.announcement.clone();
        self.mark_predecessors_gone(&announcement);
        update_outcome::UpdateOutcome::Changed
    }

    /// Merges a record from another node's directory, including whether that node considers the
    /// backend server silent.
    pub fn merge(
        &mut self,
        now: time::Instant,
        record: &backend_record::BackendRecord,
    ) -> update_outcome::UpdateOutcome {
        let outcome = self.apply_announcement(now, record.announcement.clone());
        let Some(entry) = self.entries.get_mut(&record.announcement.id) else {
            return outcome;
        };
        let is_same = entry.record.announcement == record.announcement;
        if !is_same || entry.record.is_silent == record.is_silent {
            return outcome;
        }
        entry.record.is_silent = record.is_silent;
        update_outcome::UpdateOutcome::Changed
    }

    /// Marks a backend server as gone at its own request. If `started_at` is given and is not the
    /// start time in the record, the request is from another start and has no effect. Returns
    /// the record if it changed.
    pub fn deregister(
        &mut self,
        now: time::Instant,
        id: &str,
        started_at: Option<time::SystemTime>,
    ) -> Option<backend_record::BackendRecord> {
        let entry = self.entries.get_mut(id)?;
        let announcement = &mut entry.record.announcement;
        let is_same_start = started_at.is_none_or(|at| at == announcement.started_at);
        if !is_same_start || announcement.state == backend_state::BackendState::Gone {
            return None;
        }
        announcement.state = backend_state::BackendState::Gone;
        announcement.sequence = announcement.sequence.saturating_add(1);
        entry.last_seen = now;
        Some(entry.record.clone())
    }

    /// Marks the backend servers without a heartbeat for `silence` as silent, and removes those
    /// that have been silent for long. Returns the records that were newly marked.
    pub fn expire(
        &mut self,
        now: time::Instant,
        silence: time::Duration,
    ) -> Vec<backend_record::BackendRecord> {
        let mut changed = Vec::new();
        for entry in self.entries.values_mut() {
            let is_late = now.saturating_duration_since(entry.last_seen) > silence;
            if is_late && !entry.record.is_silent {
                entry.record.is_silent = true;
                changed.push(entry.record.clone());
            }
        }
        let age = |entry: &Entry| now.saturating_duration_since(entry.last_seen);
        self.entries
            .retain(|_, entry| !entry.record.is_silent || age(entry) < RETAIN_FOR);
        changed
    }

    /// Returns the record of a backend server.
    pub fn get(&self, id: &str) -> Option<&backend_record::BackendRecord> {
        self.entries.get(id).map(|entry| &entry.record)
    }

    /// Returns all records, including those of silent and gone backend servers.
    pub fn records(&self) -> impl Iterator<Item = &backend_record::BackendRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether another backend server that started later has the same address.
    fn has_newer_at_address(&self, announcement: &announcement::Announcement) -> bool {
        self.entries.values().any(|entry| {
            let known = &entry.record.announcement;
            known.address == announcement.address
                && known.id != announcement.id
                && known.started_at > announcement.started_at
        })
    }

    /// Marks backend servers that started earlier at the same address as gone.
    fn mark_predecessors_gone(&mut self, announcement: &announcement::Announcement) {
        for entry in self.entries.values_mut() {
            let known = &mut entry.record.announcement;
            let is_other = known.id != announcement.id && known.address == announcement.address;
            if is_other && known.started_at < announcement.started_at {
                known.state = backend_state::BackendState::Gone;
            }
        }
    }
}
