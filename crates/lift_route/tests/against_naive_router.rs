//! Guards against routing to unsuitable hosts and against missed suitable ones. Under random
//! faults the decisions are compared with those of a naive router that knows the true state of
//! all hosts, handles one request at a time and never retries.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{net, time};

use lift_route::{
    AttemptFailure, Candidate, CandidateSet, HostSelector, Membership, RetryDecision,
};
use proptest::prelude::*;
use rand::SeedableRng as _;

const HOSTS: u32 = 6;
const TICK: time::Duration = time::Duration::from_millis(250);

#[derive(Clone, Copy, Debug)]
enum Fault {
    Stop(u32),
    Restart(u32),
    Switch(u32, u8),
    Leave(u32),
    Nothing,
}

/// True state of a host.
#[derive(Clone, Debug)]
struct Host {
    is_up: bool,
    is_leaving: bool,
    version: u8,
    incarnation: u64,
    sequence: u64,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..HOSTS).prop_map(Fault::Stop),
        (0..HOSTS).prop_map(Fault::Restart),
        (0..HOSTS, 1_u8..3).prop_map(|(host, version)| Fault::Switch(host, version)),
        (0..HOSTS).prop_map(Fault::Leave),
        Just(Fault::Nothing),
        Just(Fault::Nothing),
    ]
}

fn report(number: u32, host: &Host) -> lift_route::HostReport {
    let state = if host.is_leaving {
        lift_types::HostState::Leaving
    } else {
        lift_types::HostState::Up
    };
    lift_route::HostReport {
        location: lift_types::Location {
            region: format!("region-{}", number % 2),
            failure_domain: format!("domain-{}", number % 3),
            host: number,
        },
        incarnation: host.incarnation,
        sequence: host.sequence,
        state,
        serving: Some(lift_types::ServingVersion {
            version: format!("v{}", host.version),
            fencing: 1,
        }),
        in_progress: number,
        call_addr: net::SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
        chunk_addr: None,
        services: vec![String::from("assistant")],
    }
}

fn apply(hosts: &mut [Host], fault: Fault) {
    match fault {
        Fault::Stop(host) => hosts[host as usize].is_up = false,
        Fault::Restart(host) => {
            let host = &mut hosts[host as usize];
            host.is_up = true;
            host.is_leaving = false;
            host.incarnation += 1;
            host.sequence = 0;
        }
        Fault::Switch(host, version) => hosts[host as usize].version = version,
        Fault::Leave(host) => hosts[host as usize].is_leaving = true,
        Fault::Nothing => {}
    }
}

/// Outcome of a call at a host with this true state.
fn call_outcome(
    host: &Host,
    candidate: &Candidate,
    required_version: &str,
) -> Result<(), AttemptFailure> {
    if !host.is_up {
        return Err(AttemptFailure::NotSent);
    }
    if candidate.incarnation != host.incarnation {
        return Err(AttemptFailure::ConnectionLost);
    }
    let refused = |reason| Err(AttemptFailure::Refused(reason));
    if host.is_leaving {
        return refused(lift_types::RefusalReason::Leaving);
    }
    if format!("v{}", host.version) != required_version {
        return refused(lift_types::RefusalReason::WrongVersion);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// In a fleet that has been free of faults for a while, the router finds a host exactly if
    /// the naive router does. During faults, every answered request was answered by a host that
    /// was up, was not leaving and served the required version.
    #[test]
    fn requests_are_answered_only_by_hosts_that_the_naive_router_could_select(
        faults in proptest::collection::vec(fault(), 1..60),
        seed in any::<u64>(),
    ) {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let start = time::Instant::now();
        let mut hosts = vec![Host {
            is_up: true,
            is_leaving: false,
            version: 1,
            incarnation: 1,
            sequence: 0,
        }; HOSTS as usize];
        let mut membership = Membership::new();
        let mut budget = lift_route::RetryBudget::new();
        let quiet = [Fault::Nothing; 10];
        for (tick, fault) in faults.iter().chain(&quiet).enumerate() {
            let now = start + TICK * tick as u32;
            apply(&mut hosts, *fault);
            for (number, host) in hosts.iter_mut().enumerate().filter(|(_, host)| host.is_up) {
                host.sequence += 1;
                membership.apply_report(now, report(number as u32, host));
            }
            membership.expire(now);
            let mut set = CandidateSet::default();
            for candidate in membership.members().filter_map(Candidate::from_member) {
                set.insert("region-0", candidate);
            }
            let naive = hosts.iter().any(|h| h.is_up && !h.is_leaving && h.version == 1);
            let answered = route(&set, &hosts, &mut budget, now, &mut rng)?;
            prop_assert!(!answered || naive, "answered although no host could");
            let is_quiet = tick + 1 == faults.len() + quiet.len();
            prop_assert!(
                !is_quiet || answered == naive,
                "without recent faults: router {answered}, naive router {naive}"
            );
        }
    }

    /// A host to which a connection failed gets no work until its next report, as long as there
    /// is another host.
    #[test]
    fn a_suspected_host_is_avoided_until_its_next_report(seed in any::<u64>()) {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let now = time::Instant::now();
        let mut membership = Membership::new();
        let mut host = Host { is_up: true, is_leaving: false, version: 1, incarnation: 1, sequence: 1 };
        membership.apply_report(now, report(0, &host));
        membership.apply_report(now, report(2, &host));
        membership.mark_suspected(0);
        let pick = |membership: &Membership, rng: &mut rand::rngs::StdRng| {
            let mut set = CandidateSet::default();
            for candidate in membership.members().filter_map(Candidate::from_member) {
                set.insert("region-0", candidate);
            }
            let selector = HostSelector::new(&set, now);
            let criteria = lift_route::HostCriteria::default();
            selector.select(&criteria, &|_| 0, rng).map(|c| c.location.host)
        };
        prop_assert_eq!(pick(&membership, &mut rng), Some(2));
        host.sequence += 1;
        prop_assert_eq!(membership.apply_report(now, report(0, &host)), lift_route::ReportEffect::Changed);
        prop_assert_eq!(pick(&membership, &mut rng), Some(0));
    }

    /// A host is removed after 2 s without a report. Reports of an earlier incarnation and
    /// repeated reports are ignored.
    #[test]
    fn a_member_is_removed_two_seconds_after_its_last_report(
        gaps in proptest::collection::vec(0_u64..3_000, 1..30),
    ) {
        let mut now = time::Instant::now();
        let mut membership = Membership::new();
        let mut host = Host { is_up: true, is_leaving: false, version: 1, incarnation: 5, sequence: 0 };
        for gap in gaps {
            host.sequence += 1;
            membership.apply_report(now, report(1, &host));
            let old = Host { incarnation: 4, sequence: 1_000, ..host.clone() };
            prop_assert_eq!(membership.apply_report(now, report(1, &old)), lift_route::ReportEffect::Stale);
            prop_assert_eq!(membership.apply_report(now, report(1, &host)), lift_route::ReportEffect::Stale);
            now += time::Duration::from_millis(gap);
            membership.expire(now);
            prop_assert_eq!(membership.find(1).is_some(), gap < 2_000);
            if membership.find(1).is_none() {
                host.incarnation += 1;
                host.sequence = 0;
            }
        }
    }
}

/// Routes a request with retries and returns whether it was answered. Fails if the selected
/// host could not have answered correctly.
fn route(
    set: &CandidateSet,
    hosts: &[Host],
    budget: &mut lift_route::RetryBudget,
    now: time::Instant,
    rng: &mut rand::rngs::StdRng,
) -> Result<bool, TestCaseError> {
    budget.deposit();
    let mut criteria = lift_route::HostCriteria {
        kind: lift_types::ServiceKind::Model,
        version: Some(String::from("v1")),
        ..lift_route::HostCriteria::default()
    };
    let mut time_left = time::Duration::from_secs(5);
    for attempts in 1.. {
        let selector = HostSelector::new(set, now);
        let Some(candidate) = selector.select(&criteria, &|_| 0, rng) else {
            return Ok(false);
        };
        prop_assert!(!criteria.tried.contains(&candidate.location.host));
        criteria.tried.push(candidate.location.host);
        let host = &hosts[candidate.location.host as usize];
        let is_current = host.is_up && candidate.incarnation == host.incarnation;
        prop_assert!(!(is_current && host.is_leaving), "chose a leaving host");
        prop_assert_eq!(candidate.version.as_deref(), Some("v1"));
        let Err(failure) = call_outcome(host, candidate, "v1") else {
            prop_assert!(host.is_up && !host.is_leaving && host.version == 1);
            return Ok(true);
        };
        match lift_route::RetryPolicy.decide(failure, attempts, time_left, budget, rng) {
            RetryDecision::GiveUp { .. } => return Ok(false),
            RetryDecision::Retry { backoff, .. } => time_left = time_left.saturating_sub(backoff),
        }
    }
    Ok(false)
}
