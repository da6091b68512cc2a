//! Agents whose chunks are late.

use std::time;

use crate::home_table;

/// Divisor of the number of agents that gives how many may be replaced. If more are late, the
/// origin or a region link is slow, and other readers would only add to its load.
const MAX_REPLACED_DIVISOR: usize = 4;

/// Time that the new reader of a group gets before it is replaced in turn.
const READER_TIME: time::Duration = time::Duration::from_secs(1);

/// Agents that are not to read chunks for others, because theirs are late.
///
/// A home host whose link is congested, or whose process has just started again, is connected and
/// says that it works on the version, and its chunks still come seconds after all others. Every
/// agent sees that by itself, since it knows from when on each chunk could have been read, and they
/// all choose the same new home.
#[derive(Clone, Debug, Default)]
pub struct LateReaders {
    hosts: indexmap::IndexSet<lift_types::HostId>,
    replaced_at: indexmap::IndexMap<lift_types::KeyGroup, time::Instant>,
}

impl LateReaders {
    /// Replaces the agents that are to bring the chunks of the `late` groups to `region`, according
    /// to the `table` of `agents` agents. Returns whether any was replaced.
    pub fn replace(
        &mut self,
        now: time::Instant,
        late: &[lift_types::KeyGroup],
        table: &home_table::HomeTable,
        region: &str,
        agents: usize,
    ) -> bool {
        let mut has_changed = false;
        for group in late {
            let replaced_at = self.replaced_at.get(group);
            if replaced_at.is_some_and(|at| now.saturating_duration_since(*at) < READER_TIME) {
                continue;
            }
            self.replaced_at.insert(*group, now);
            for host in table.readers(region, *group) {
                let may_replace = self.hosts.len() < agents / MAX_REPLACED_DIVISOR;
                has_changed |= may_replace && self.hosts.insert(host);
            }
        }
        has_changed
    }

    /// Whether the agent at `host` was replaced.
    pub fn contains(&self, host: lift_types::HostId) -> bool {
        self.hosts.contains(&host)
    }
}
