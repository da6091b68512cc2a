//! Live hosts, from their reports.

use std::time;

use crate::{flap_record, host_report, member, observation};

/// Silence after which a host gets work only where no other host can take it.
pub const SUSPECT_AFTER: time::Duration = time::Duration::from_millis(1_000);

/// Silence after which a host is removed. Reports come four times a second, so seven in a
/// row must be lost before a live host is removed.
pub const REMOVE_AFTER: time::Duration = time::Duration::from_millis(2_000);

/// View of the live hosts. An entry keeps one for each of its shards.
#[derive(Debug, Default)]
pub struct Membership {
    members: indexmap::IndexMap<lift_types::HostId, member::Member>,
    failures: indexmap::IndexMap<lift_types::HostId, flap_record::FlapRecord>,
}

impl Membership {
    /// Starts without hosts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a report into account.
    pub fn observe(
        &mut self,
        now: time::Instant,
        report: host_report::HostReport,
    ) -> observation::Observation {
        let host = report.place.host;
        let effect = match self.members.get(&host) {
            None => observation::Observation::Joined,
            Some(known) => effect_of(&known.report, &report),
        };
        if effect == observation::Observation::Stale {
            return effect;
        }
        let restarted =
            effect == observation::Observation::Joined && self.members.contains_key(&host);
        if restarted {
            self.add_failure(now, host);
        }
        let damped = self.is_damped(now, host);
        let was_damped = self.members.get(&host).is_some_and(|m| m.damped);
        let member = member::Member {
            report,
            heard_at: now,
            damped,
        };
        self.members.insert(host, member);
        if effect == observation::Observation::Refreshed && damped != was_damped {
            return observation::Observation::Changed;
        }
        effect
    }

    /// Removes hosts that have been silent for [`REMOVE_AFTER`] and returns them.
    pub fn expire(&mut self, now: time::Instant) -> Vec<lift_types::HostId> {
        let is_silent =
            |m: &member::Member| now.saturating_duration_since(m.heard_at) >= REMOVE_AFTER;
        let silent = self.members.iter().filter(|(_, m)| is_silent(m));
        let removed: Vec<_> = silent.map(|(host, _)| *host).collect();
        for host in &removed {
            self.members.swap_remove(host);
            self.add_failure(now, *host);
        }
        self.failures.retain(|_, record| !record.is_spent(now));
        removed
    }

    /// Counts an answer of a host that failed its checks. A host that gives several of them
    /// is damped like one that fails repeatedly; its next report tells.
    pub fn count_damage(&mut self, now: time::Instant, host: lift_types::HostId) {
        if self.members.contains_key(&host) {
            self.add_failure(now, host);
        }
    }

    /// Live hosts.
    pub fn members(&self) -> impl Iterator<Item = &member::Member> {
        self.members.values()
    }

    /// One live host.
    pub fn find(&self, host: lift_types::HostId) -> Option<&member::Member> {
        self.members.get(&host)
    }

    fn add_failure(&mut self, now: time::Instant, host: lift_types::HostId) {
        let record = self.failures.entry(host);
        record
            .or_insert_with(|| flap_record::FlapRecord::new(now))
            .fail(now);
    }

    fn is_damped(&mut self, now: time::Instant, host: lift_types::HostId) -> bool {
        let record = self.failures.get_mut(&host);
        record.is_some_and(|record| record.is_damped(now))
    }
}

fn effect_of(
    known: &host_report::HostReport,
    report: &host_report::HostReport,
) -> observation::Observation {
    if report.incarnation > known.incarnation {
        return observation::Observation::Joined;
    }
    if report.incarnation < known.incarnation || report.sequence <= known.sequence {
        return observation::Observation::Stale;
    }
    let same = report.place == known.place
        && report.state == known.state
        && report.serving == known.serving
        && report.call_addr == known.call_addr
        && report.chunk_addr == known.chunk_addr
        && report.services == known.services;
    if same {
        observation::Observation::Refreshed
    } else {
        observation::Observation::Changed
    }
}
