//! Membership of live hosts.

use std::time;

use crate::{flap_record, host_report, member, report_effect};

/// Time without a report after which a host is used only if no healthy host is eligible.
pub const SUSPECT_AFTER: time::Duration = time::Duration::from_millis(1_000);

/// Time without a report after which a host is removed. Hosts report four times a second, so
/// seven reports in a row must be lost before a live host is removed.
pub const REMOVE_AFTER: time::Duration = time::Duration::from_millis(2_000);

/// Live hosts, maintained from their reports. An entry keeps one view for each of its shards.
#[derive(Debug, Default)]
pub struct Membership {
    members: indexmap::IndexMap<lift_types::HostId, member::Member>,
    failures: indexmap::IndexMap<lift_types::HostId, flap_record::FlapRecord>,
}

impl Membership {
    /// Creates a view without hosts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a report that was received at `now`, unless it is stale. A restart of the agent
    /// counts as a failure of the host.
    pub fn apply_report(
        &mut self,
        now: time::Instant,
        report: host_report::HostReport,
    ) -> report_effect::ReportEffect {
        let host = report.location.host;
        let effect = match self.members.get(&host) {
            None => report_effect::ReportEffect::Joined,
            Some(known) => effect_of(&known.report, &report),
        };
        if effect == report_effect::ReportEffect::Stale {
            return effect;
        }
        let is_restart =
            effect == report_effect::ReportEffect::Joined && self.members.contains_key(&host);
        if is_restart {
            self.add_failure(now, host);
        }
        let damped = self.is_damped(now, host);
        let known = self.members.get(&host);
        let was_damped = known.is_some_and(|m| m.damped);
        let was_suspected = known.is_some_and(|m| m.suspected);
        let member = member::Member {
            report,
            last_seen: now,
            damped,
            suspected: false,
        };
        self.members.insert(host, member);
        let has_health_changed = damped != was_damped || was_suspected;
        if effect == report_effect::ReportEffect::Refreshed && has_health_changed {
            return report_effect::ReportEffect::Changed;
        }
        effect
    }

    /// Removes the hosts that have not reported for [`REMOVE_AFTER`] and returns them. Each
    /// removal counts as a failure of the host.
    pub fn expire(&mut self, now: time::Instant) -> Vec<lift_types::HostId> {
        let is_silent =
            |m: &member::Member| now.saturating_duration_since(m.last_seen) >= REMOVE_AFTER;
        let silent = self.members.iter().filter(|(_, m)| is_silent(m));
        let removed: Vec<_> = silent.map(|(host, _)| *host).collect();
        for host in &removed {
            self.members.swap_remove(host);
            self.add_failure(now, *host);
        }
        self.failures.retain(|_, record| !record.is_negligible(now));
        removed
    }

    /// Counts an answer that failed its checks as a failure of the host. A host with several
    /// failures is damped from its next report on.
    pub fn record_damaged_answer(&mut self, now: time::Instant, host: lift_types::HostId) {
        if self.members.contains_key(&host) {
            self.add_failure(now, host);
        }
    }

    /// Marks a host to which a connection failed as suspected until its next report.
    pub fn mark_suspected(&mut self, host: lift_types::HostId) {
        if let Some(member) = self.members.get_mut(&host) {
            member.suspected = true;
        }
    }

    /// Iterates over the live hosts.
    pub fn members(&self) -> impl Iterator<Item = &member::Member> {
        self.members.values()
    }

    /// Returns the live host with the id `host`.
    pub fn find(&self, host: lift_types::HostId) -> Option<&member::Member> {
        self.members.get(&host)
    }

    fn add_failure(&mut self, now: time::Instant, host: lift_types::HostId) {
        let record = self.failures.entry(host);
        record
            .or_insert_with(|| flap_record::FlapRecord::new(now))
            .record_failure(now);
    }

    fn is_damped(&mut self, now: time::Instant, host: lift_types::HostId) -> bool {
        let record = self.failures.get_mut(&host);
        record.is_some_and(|record| record.is_damped(now))
    }
}

fn effect_of(
    known: &host_report::HostReport,
    report: &host_report::HostReport,
) -> report_effect::ReportEffect {
    if report.incarnation > known.incarnation {
        return report_effect::ReportEffect::Joined;
    }
    if report.incarnation < known.incarnation || report.sequence <= known.sequence {
        return report_effect::ReportEffect::Stale;
    }
    let is_same = report.location == known.location
        && report.state == known.state
        && report.serving == known.serving
        && report.call_addr == known.call_addr
        && report.chunk_addr == known.chunk_addr
        && report.services == known.services;
    if is_same {
        report_effect::ReportEffect::Refreshed
    } else {
        report_effect::ReportEffect::Changed
    }
}
