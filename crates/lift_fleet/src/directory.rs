//! Backend servers that announce themselves.

use std::time;

use crate::{announcement, backend_id, backend_record, backend_state, change_size};

/// Time for which a backend server that is gone or silent is remembered, so that a heartbeat
/// that was held up does not bring it back. Network partitions hold heartbeats up for about
/// ten seconds.
const FORGET_AFTER: time::Duration = time::Duration::from_secs(60);

/// Merges announcements that come late, more than once and by several ways.
///
/// The result does not depend on the order of arrival: of one name the newest start and its
/// highest sequence count, and of one address the newest start. So nodes that have heard the
/// same announcements know the same.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: indexmap::IndexMap<backend_id::BackendId, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    record: backend_record::BackendRecord,
    heard_at: time::Instant,
}

impl Directory {
    /// Starts empty.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in an announcement that was heard at `now`.
    pub fn announce(
        &mut self,
        now: time::Instant,
        announcement: announcement::Announcement,
    ) -> change_size::ChangeSize {
        if self.is_displaced(&announcement) {
            return change_size::ChangeSize::Stale;
        }
        let record = backend_record::BackendRecord {
            announcement,
            is_silent: false,
        };
        let Some(entry) = self.entries.get_mut(&record.announcement.id) else {
            self.displace(&record.announcement);
            let id = record.announcement.id.clone();
            self.entries.insert(
                id,
                Entry {
                    record,
                    heard_at: now,
                },
            );
            return change_size::ChangeSize::Changed;
        };
        let known = &entry.record;
        if !record.announcement.is_newer_than(&known.announcement) {
            return change_size::ChangeSize::Stale;
        }
        let is_same_start = record.announcement.born == known.announcement.born;
        let was_gone = known.announcement.state == backend_state::BackendState::Gone;
        if is_same_start && was_gone {
            return change_size::ChangeSize::Stale;
        }
        let is_refresh =
            !known.is_silent && record.announcement.says_the_same_as(&known.announcement);
        *entry = Entry {
            record,
            heard_at: now,
        };
        if is_refresh {
            return change_size::ChangeSize::Refreshed;
        }
        let announcement = entry.record.announcement.clone();
        self.displace(&announcement);
        change_size::ChangeSize::Changed
    }

    /// Takes in a record of another node's directory.
    pub fn merge(
        &mut self,
        now: time::Instant,
        record: &backend_record::BackendRecord,
    ) -> change_size::ChangeSize {
        let size = self.announce(now, record.announcement.clone());
        let Some(entry) = self.entries.get_mut(&record.announcement.id) else {
            return size;
        };
        let is_same = entry.record.announcement == record.announcement;
        if !is_same || entry.record.is_silent == record.is_silent {
            return size;
        }
        entry.record.is_silent = record.is_silent;
        change_size::ChangeSize::Changed
    }

    /// Notes that a backend server says it is gone. `born` names the start that speaks,
    /// where it is known. Returns the record if that is news.
    pub fn leave(
        &mut self,
        now: time::Instant,
        id: &str,
        born: Option<time::SystemTime>,
    ) -> Option<backend_record::BackendRecord> {
        let entry = self.entries.get_mut(id)?;
        let announcement = &mut entry.record.announcement;
        let is_same_start = born.is_none_or(|born| born == announcement.born);
        if !is_same_start || announcement.state == backend_state::BackendState::Gone {
            return None;
        }
        announcement.state = backend_state::BackendState::Gone;
        announcement.sequence += 1;
        entry.heard_at = now;
        Some(entry.record.clone())
    }

    /// Marks those from which nothing was heard for `silence`, and forgets old ones. Returns
    /// the records that changed.
    pub fn expire(
        &mut self,
        now: time::Instant,
        silence: time::Duration,
    ) -> Vec<backend_record::BackendRecord> {
        let mut changed = Vec::new();
        for entry in self.entries.values_mut() {
            let is_late = now.saturating_duration_since(entry.heard_at) > silence;
            if is_late && !entry.record.is_silent {
                entry.record.is_silent = true;
                changed.push(entry.record.clone());
            }
        }
        let age = |entry: &Entry| now.saturating_duration_since(entry.heard_at);
        self.entries
            .retain(|_, entry| !entry.record.is_silent || age(entry) < FORGET_AFTER);
        changed
    }

    /// Finds a backend server.
    pub fn get(&self, id: &str) -> Option<&backend_record::BackendRecord> {
        self.entries.get(id).map(|entry| &entry.record)
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &backend_record::BackendRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a backend server that started later is known at the same address.
    fn is_displaced(&self, announcement: &announcement::Announcement) -> bool {
        self.entries.values().any(|entry| {
            let known = &entry.record.announcement;
            known.address == announcement.address
                && known.id != announcement.id
                && known.born > announcement.born
        })
    }

    /// Marks earlier backend servers at the same address as gone.
    fn displace(&mut self, announcement: &announcement::Announcement) {
        for entry in self.entries.values_mut() {
            let known = &mut entry.record.announcement;
            let is_other = known.id != announcement.id && known.address == announcement.address;
            if is_other && known.born < announcement.born {
                known.state = backend_state::BackendState::Gone;
            }
        }
    }
}
