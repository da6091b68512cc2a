//! Choice of a host.

use std::time;

use rand::RngExt as _;

use crate::{candidate, candidate_set, choice_request};

/// Age from which a load report is ignored. Reports lag, and old ones would send all
/// requests to hosts that were idle a while ago.
const REPORT_MAX_AGE: time::Duration = time::Duration::from_millis(800);

/// Requests by which a host in another region must be less loaded to be chosen.
const FAR_PENALTY: u32 = 8;

/// Requests by which the prefix host may be more loaded than the better of two random ones.
const AFFINITY_SLACK: u32 = 4;

/// Random draws before all hosts are looked at.
const DRAWS: usize = 6;

/// Picks hosts by the power of two random choices.
#[derive(Clone, Copy, Debug)]
pub struct HostChoice<'a> {
    hosts: &'a candidate_set::CandidateSet,
    now: time::Instant,
}

type Side = indexmap::IndexMap<lift_types::HostId, candidate::Candidate>;

impl<'a> HostChoice<'a> {
    /// Chooses among `hosts` as known at `now`.
    pub fn new(hosts: &'a candidate_set::CandidateSet, now: time::Instant) -> Self {
        Self { hosts, now }
    }

    /// Picks a host for `req`. `in_flight` tells how many requests this entry has at a host.
    pub fn pick(
        &self,
        req: &choice_request::ChoiceRequest,
        in_flight: &dyn Fn(lift_types::HostId) -> u32,
        rng: &mut dyn rand::Rng,
    ) -> Option<&'a candidate::Candidate> {
        let healthy = |c: &candidate::Candidate| req.admits(c) && c.is_healthy(self.now);
        let best = self
            .pick_where(&healthy, req, in_flight, rng)
            .or_else(|| self.pick_where(&|c| req.admits(c), req, in_flight, rng))?;
        let affine = req.affine.and_then(|host| self.hosts.find(host));
        let Some(affine) = affine.filter(|c| healthy(c)) else {
            return Some(best);
        };
        let bound = 2 * self.load(best, in_flight) + AFFINITY_SLACK;
        if self.load(affine, in_flight) <= bound {
            return Some(affine);
        }
        Some(best)
    }

    fn pick_where(
        &self,
        admits: &dyn Fn(&candidate::Candidate) -> bool,
        req: &choice_request::ChoiceRequest,
        in_flight: &dyn Fn(lift_types::HostId) -> u32,
        rng: &mut dyn rand::Rng,
    ) -> Option<&'a candidate::Candidate> {
        let near = self.better_of_two(&self.hosts.near, admits, req, in_flight, rng);
        let Some(near) = near else {
            return self.better_of_two(&self.hosts.far, admits, req, in_flight, rng);
        };
        // A host that is hardly loaded can't be beaten by one in another region.
        let near_load = self.load(near, in_flight);
        if near_load <= FAR_PENALTY {
            return Some(near);
        }
        let far = self.better_of_two(&self.hosts.far, admits, req, in_flight, rng);
        let is_less = |far: &&candidate::Candidate| {
            self.load(far, in_flight).saturating_add(FAR_PENALTY) < near_load
        };
        far.filter(is_less).or(Some(near))
    }

    fn better_of_two(
        &self,
        side: &'a Side,
        admits: &dyn Fn(&candidate::Candidate) -> bool,
        req: &choice_request::ChoiceRequest,
        in_flight: &dyn Fn(lift_types::HostId) -> u32,
        rng: &mut dyn rand::Rng,
    ) -> Option<&'a candidate::Candidate> {
        let first = draw(side, admits, rng)?;
        let other = |c: &candidate::Candidate| c.place.host != first.place.host && admits(c);
        let Some(second) = draw(side, &other, rng) else {
            return Some(first);
        };
        let rank = |c: &candidate::Candidate| {
            let is_elsewhere = req
                .failure_domain
                .as_ref()
                .is_some_and(|domain| *domain != c.place.failure_domain);
            (self.load(c, in_flight), is_elsewhere)
        };
        if rank(second) < rank(first) {
            return Some(second);
        }
        Some(first)
    }

    fn load(
        &self,
        candidate: &candidate::Candidate,
        in_flight: &dyn Fn(lift_types::HostId) -> u32,
    ) -> u32 {
        let own = in_flight(candidate.place.host);
        let age = self.now.saturating_duration_since(candidate.reported_at);
        if age > REPORT_MAX_AGE {
            return own;
        }
        own.max(candidate.reported)
    }
}

fn draw<'a>(
    side: &'a Side,
    admits: &dyn Fn(&candidate::Candidate) -> bool,
    rng: &mut dyn rand::Rng,
) -> Option<&'a candidate::Candidate> {
    if side.is_empty() {
        return None;
    }
    let start = rng.random_range(0..side.len());
    let random = (0..DRAWS).find_map(|step| {
        let position = if step == 0 {
            start
        } else {
            rng.random_range(0..side.len())
        };
        side.get_index(position)
            .map(|(_, c)| c)
            .filter(|c| admits(c))
    });
    let scan = || {
        let positions = (start..side.len()).chain(0..start);
        positions
            .filter_map(|position| side.get_index(position).map(|(_, c)| c))
            .find(|c| admits(c))
    };
    random.or_else(scan)
}
