//! Selection of a host.

use std::time;

use rand::RngExt as _;

use crate::{candidate, candidate_set, host_criteria};

/// Age above which a reported load is ignored. Reports lag behind, and old ones would direct
/// all requests to hosts that were idle a while ago.
const REPORT_MAX_AGE: time::Duration = time::Duration::from_millis(800);

/// Load, in requests, that is added to hosts in other regions.
const CROSS_REGION_PENALTY: u32 = 8;

/// Requests in progress that the affinity host may have on top of twice the load of the better
/// of two random hosts.
const AFFINITY_SLACK: u32 = 4;

/// Random picks before all hosts are scanned for an eligible one.
const MAX_RANDOM_PICKS: usize = 6;

/// Selects hosts by the power of two random choices: of two random eligible hosts the less
/// loaded one.
#[derive(Clone, Copy, Debug)]
pub struct HostSelector<'a> {
    hosts: &'a candidate_set::CandidateSet,
    now: time::Instant,
}

type RegionHosts = indexmap::IndexMap<lift_types::HostId, candidate::Candidate>;

impl<'a> HostSelector<'a> {
    /// Creates a selector among `hosts`. The age of reports is measured at `now`.
    pub fn new(hosts: &'a candidate_set::CandidateSet, now: time::Instant) -> Self {
        Self { hosts, now }
    }

    /// Selects a host that meets `criteria`; `None` if there is no such host. Hosts that are not
    /// healthy are selected only if no healthy one is eligible. `in_flight` returns the number of
    /// requests that this entry has in progress at a host.
    pub fn select(
        &self,
        criteria: &host_criteria::HostCriteria,
        in_flight: &dyn Fn(lift_types::HostId) -> u32,
        rng: &mut dyn rand::Rng,
    ) -> Option<&'a candidate::Candidate> {
        let is_healthy = |c: &candidate::Candidate| criteria.is_met_by(c) && c.is_healthy(self.now);
        let best = self
            .select_where(&is_healthy, criteria, in_flight, rng)
            .or_else(|| self.select_where(&|c| criteria.is_met_by(c), criteria, in_flight, rng))?;
        let affinity_host = criteria
            .affinity_host
            .and_then(|host| self.hosts.find(host));
        let Some(affinity_host) = affinity_host.filter(|c| is_healthy(c)) else {
            return Some(best);
        };
        let bound = 2 * self.load(best, in_flight) + AFFINITY_SLACK;
        if self.load(affinity_host, in_flight) <= bound {
            return Some(affinity_host);
        }
        Some(best)
    }

    fn select_where(
        &self,
        is_eligible: &dyn Fn(&candidate::Candidate) -> bool,
        criteria: &host_criteria::HostCriteria,
        in_flight: &dyn Fn(lift_types::HostId) -> u32,
        rng: &mut dyn rand::Rng,
    ) -> Option<&'a candidate::Candidate> {
        let same_region = self.better_of_two(
            &self.hosts.same_region,
            is_eligible,
            criteria,
            in_flight,
            rng,
        );
        let Some(local) = same_region else {
            return self.better_of_two(
                &self.hosts.other_regions,
                is_eligible,
                criteria,
                in_flight,
                rng,
            );
        };
        // With a load of at most the penalty, no host in another region can be better.
        let local_load = self.load(local, in_flight);
        if local_load <= CROSS_REGION_PENALTY {
            return Some(local);
        }
        let remote = self.better_of_two(
            &self.hosts.other_regions,
            is_eligible,
            criteria,
            in_flight,
            rng,
        );
        let is_less_loaded = |remote: &&candidate::Candidate| {
            self.load(remote, in_flight)
                .saturating_add(CROSS_REGION_PENALTY)
                < local_load
        };
        remote.filter(is_less_loaded).or(Some(local))
    }

    fn better_of_two(
        &self,
        hosts: &'a RegionHosts,
        is_eligible: &dyn Fn(&candidate::Candidate) -> bool,
        criteria: &host_criteria::HostCriteria,
        in_flight: &dyn Fn(lift_types::HostId) -> u32,
        rng: &mut dyn rand::Rng,
    ) -> Option<&'a candidate::Candidate> {
        let first = pick_random(hosts, is_eligible, rng)?;
        let is_other =
            |c: &candidate::Candidate| c.location.host != first.location.host && is_eligible(c);
        let Some(second) = pick_random(hosts, &is_other, rng) else {
            return Some(first);
        };
        let rank = |c: &candidate::Candidate| {
            let is_other_domain = criteria
                .failure_domain
                .as_ref()
                .is_some_and(|domain| *domain != c.location.failure_domain);
            (self.load(c, in_flight), is_other_domain)
        };
        if rank(second) < rank(first) {
            return Some(second);
        }
        Some(first)
    }

    /// Load of a host: the requests of this entry, or the reported ones if they are more and
    /// the report is recent.
    fn load(
        &self,
        candidate: &candidate::Candidate,
        in_flight: &dyn Fn(lift_types::HostId) -> u32,
    ) -> u32 {
        let own = in_flight(candidate.location.host);
        let age = self.now.saturating_duration_since(candidate.reported_at);
        if age > REPORT_MAX_AGE {
            return own;
        }
        own.max(candidate.reported_load)
    }
}

/// Returns a random eligible host. Where random picks find none, scans all hosts from a random
/// position.
fn pick_random<'a>(
    hosts: &'a RegionHosts,
    is_eligible: &dyn Fn(&candidate::Candidate) -> bool,
    rng: &mut dyn rand::Rng,
) -> Option<&'a candidate::Candidate> {
    if hosts.is_empty() {
        return None;
    }
    let start = rng.random_range(0..hosts.len());
    let random = (0..MAX_RANDOM_PICKS).find_map(|pick| {
        let position = if pick == 0 {
            start
        } else {
            rng.random_range(0..hosts.len())
        };
        hosts
            .get_index(position)
            .map(|(_, c)| c)
            .filter(|c| is_eligible(c))
    });
    let scan = || {
        let positions = (start..hosts.len()).chain(0..start);
        positions
            .filter_map(|position| hosts.get_index(position).map(|(_, c)| c))
            .find(|c| is_eligible(c))
    };
    random.or_else(scan)
}
