//! Tests leases and the activation gate under agent restarts, lost replies, failed loads and
//! leader changes. Guards against two incarnations of a host that hold a lease at the same time,
//! and against a failure domain with fewer serving hosts than its floor.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time::{Duration, Instant};

use lift_state::{ActivationRequest, GateDecision, LeaseRenewal, LeaseReply, LeaseTable};
use lift_types::{Location, Policy, ServingVersion};
use proptest::prelude::*;

const LEASE: Duration = Duration::from_secs(10);
const HOSTS: usize = 6;

fn location(host: usize) -> Location {
    Location {
        region: "r1".into(),
        failure_domain: "d1".into(),
        host: host as u32,
    }
}

fn renewal(host: usize, incarnation: u64, serving: Option<ServingVersion>) -> LeaseRenewal {
    LeaseRenewal {
        location: location(host),
        incarnation,
        serving,
    }
}

fn policy(version: &str, floor: u8) -> Policy {
    let mut policy = Policy::default();
    policy.default.version = Some(version.into());
    policy.default.activation_floor_percent = floor;
    policy
}

#[derive(Clone, Copy, Debug)]
enum LeaseStep {
    /// Registers a new incarnation of the host.
    Register(usize),
    /// Renews the lease of a host: of its current incarnation (0) or the previous one (1), after
    /// a network delay in milliseconds.
    Renew(usize, u64, u64),
    NewLeader,
    /// Advances the time by this many milliseconds.
    Pass(u64),
}

fn lease_step() -> impl Strategy<Value = LeaseStep> {
    prop_oneof![
        1 => (0..2_usize).prop_map(LeaseStep::Register),
        6 => (0..2_usize, 0..2_u64, 0..5_000_u64)
            .prop_map(|(host, back, delay)| LeaseStep::Renew(host, back, delay)),
        1 => Just(LeaseStep::NewLeader),
        4 => (1..6_000_u64).prop_map(LeaseStep::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_024))]
    #[test]
    fn only_one_incarnation_holds_a_lease(steps in prop::collection::vec(lease_step(), 1..80)) {
        let mut now = Instant::now() + LEASE;
        let mut table = LeaseTable::new(LEASE, now);
        let mut registered = [1_u64; 2];
        let mut held: Vec<(usize, u64, Instant)> = Vec::new();
        for step in steps {
            match step {
                LeaseStep::Register(host) => registered[host] += 1,
                LeaseStep::Pass(ms) => now += Duration::from_millis(ms),
                // The previous leader may have granted a lease at this very moment.
                LeaseStep::NewLeader => table = LeaseTable::new(LEASE, now + LeaseTable::lease_with_margin(LEASE)),
                LeaseStep::Renew(host, back, delay) => {
                    let incarnation = registered[host].saturating_sub(back).max(1);
                    let sent_at = now - Duration::from_millis(delay);
                    let reply = table.renew(now, &renewal(host, incarnation, None), registered[host]);
                    if let LeaseReply::Renewed { valid_for } = reply {
                        prop_assert_eq!(incarnation, registered[host]);
                        held.push((host, incarnation, sent_at + valid_for));
                    }
                }
            }
            held.retain(|(_, _, expires_at)| *expires_at > now);
            for (host, incarnation, _) in &held {
                let other = held.iter().find(|(h, i, _)| h == host && i != incarnation);
                prop_assert!(other.is_none(), "{:?}", held);
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Host {
    Serving(ServingVersion),
    Switching(u64),
    Failed,
}

impl Host {
    fn serving(&self) -> Option<ServingVersion> {
        match self {
            Self::Serving(version) => Some(version.clone()),
            _ => None,
        }
    }
}

/// Failure domain in which all hosts serve `v1` at the start and `v2` is the target version.
struct Domain {
    now: Instant,
    table: LeaseTable,
    policy: Policy,
    fencing: u64,
    hosts: Vec<Host>,
}

impl Domain {
    fn new(floor: u8) -> Self {
        let now = Instant::now();
        let serving = ServingVersion {
            version: "v1".into(),
            fencing: 0,
        };
        let mut domain = Self {
            now,
            table: LeaseTable::new(LEASE, now),
            policy: policy("v2", floor),
            fencing: 0,
            hosts: vec![Host::Serving(serving); HOSTS],
        };
        domain.renew_all();
        domain
    }

    fn renew_all(&mut self) {
        for (host, state) in self.hosts.iter().enumerate() {
            self.table
                .renew(self.now, &renewal(host, 1, state.serving()), 1);
        }
    }

    fn request_activation(&mut self, host: usize) -> GateDecision {
        let req = ActivationRequest {
            location: location(host),
            incarnation: 1,
            serving: self.hosts[host].serving(),
            version: self.policy.default.version.clone().unwrap(),
            revision: 1,
        };
        let decision = self.table.decide_activation(self.now, &req, &self.policy);
        if decision == GateDecision::Grant {
            self.fencing += 1;
            self.table.confirm_grant(&req, self.fencing);
        }
        decision
    }

    fn step(&mut self, action: u8, host: usize) {
        match action {
            // The host requests a grant and starts to switch.
            0..=5
                if !matches!(self.hosts[host], Host::Switching(_))
                    && self.request_activation(host) == GateDecision::Grant =>
            {
                self.hosts[host] = Host::Switching(self.fencing);
            }
            // The reply to the request is lost.
            6 => {
                self.request_activation(host);
            }
            // The engine confirms the load.
            7 | 8 => {
                if let Host::Switching(fencing) = self.hosts[host] {
                    let version = self.policy.default.version.clone().unwrap();
                    self.hosts[host] = Host::Serving(ServingVersion { version, fencing });
                }
            }
            // The load fails.
            9 => {
                if matches!(self.hosts[host], Host::Switching(_)) {
                    self.hosts[host] = Host::Failed;
                }
            }
            // The target version changes.
            10 => {
                let is_v2 = self.policy.default.version.as_deref() == Some("v2");
                let version = if is_v2 { "v3" } else { "v2" };
                self.policy.default.version = Some(version.into());
            }
            11 => self.now += Duration::from_secs(4),
            12 => self.change_leader(),
            _ => {}
        }
        self.renew_all();
    }

    fn change_leader(&mut self) {
        let grants_from = self.now + LeaseTable::lease_with_margin(LEASE);
        self.table = LeaseTable::new(LEASE, grants_from);
        self.renew_all();
        self.now = grants_from;
        self.renew_all();
        // Hosts without a version send a request at once, so that the new leader counts them as
        // replicas.
        for host in 0..HOSTS {
            if self.hosts[host].serving().is_none() {
                self.request_activation(host);
            }
        }
    }

    fn serving_count(&self) -> usize {
        self.hosts.iter().filter_map(Host::serving).count()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_024))]
    #[test]
    fn serving_hosts_never_fall_below_the_floor(
        floor in prop::sample::select(&[0_u8, 20, 50, 67, 90, 100][..]),
        steps in prop::collection::vec((0..13_u8, 0..HOSTS), 1..120),
    ) {
        let mut domain = Domain::new(floor);
        let min_serving = if floor == 100 {
            HOSTS
        } else {
            (HOSTS * usize::from(floor)).div_ceil(100).min(HOSTS - 1)
        };
        for (action, host) in steps {
            domain.step(action, host);
            prop_assert!(domain.serving_count() >= min_serving, "{:?}", domain.hosts);
        }
    }
}

/// Guards against a rollout that never completes because the floor is computed wrongly.
#[test]
fn all_hosts_switch_one_after_another() {
    for floor in [0, 50, 99] {
        let mut domain = Domain::new(floor);
        for host in 0..HOSTS {
            assert_eq!(
                domain.request_activation(host),
                GateDecision::Grant,
                "floor {floor}"
            );
            domain.hosts[host] = Host::Switching(domain.fencing);
            domain.step(7, host);
        }
        assert_eq!(
            domain.table.replica_counts(domain.now, "d1"),
            (HOSTS, HOSTS)
        );
    }
}

/// Guards against a host that has to wait although it serves nothing, and against grants for a
/// version other than the target version or without a lease.
#[test]
fn activation_requires_the_target_version_and_a_lease() {
    let mut domain = Domain::new(100);
    assert!(matches!(
        domain.request_activation(0),
        GateDecision::Wait { .. }
    ));
    domain.hosts[1] = Host::Failed;
    domain.renew_all();
    assert_eq!(domain.request_activation(1), GateDecision::Grant);
    let mut req = ActivationRequest {
        location: location(2),
        incarnation: 1,
        serving: None,
        version: "v1".into(),
        revision: 1,
    };
    let target = Some(String::from("v2"));
    let decide =
        |req: &ActivationRequest, now| domain.table.decide_activation(now, req, &domain.policy);
    assert_eq!(
        decide(&req, domain.now),
        GateDecision::NotTargetVersion { target }
    );
    req.version = "v2".into();
    req.incarnation = 2;
    assert_eq!(decide(&req, domain.now), GateDecision::NoLease);
    req.incarnation = 1;
    let after = domain.now + LEASE * 2;
    assert_eq!(decide(&req, after), GateDecision::NoLease);
}
