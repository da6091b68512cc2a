//! Simulated cluster with its network and faults.

use std::{collections, time};

use rand::rngs;
use rand::{RngExt as _, SeedableRng as _};

use super::{Faults, host};

/// Interval between two proposals, in ms.
const PROPOSAL_INTERVAL_MS: u64 = 7;

/// Length of the alternating periods with and without proposals, in ms. Without proposals, the
/// logs become equal, and only the lease that a follower granted prevents it from voting.
const LOAD_PERIOD_MS: u64 = 400;

pub struct Cluster {
    rng: rngs::StdRng,
    pub(super) faults: Faults,
    pub(super) base: time::Instant,
    pub(super) ms: u64,
    pub(super) hosts: Vec<host::Host>,
    /// Messages in transit by their time of arrival, in ms.
    network: collections::BTreeMap<u64, Vec<lift_consensus::Message>>,
    /// Host that can neither send nor receive messages.
    pub(super) isolated: Option<u64>,
    /// Two hosts that can't exchange messages with each other.
    pub(super) cut_link: Option<(u64, u64)>,
    pub(super) leaders: collections::BTreeMap<u64, u64>,
    pub(super) committed: collections::BTreeMap<u64, lift_consensus::Entry>,
    proposed: u64,
}

impl Cluster {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut cluster = Self {
            rng: rngs::StdRng::seed_from_u64(seed),
            faults,
            base: time::Instant::now(),
            ms: 0,
            hosts: Vec::new(),
            network: collections::BTreeMap::new(),
            isolated: None,
            cut_link: None,
            leaders: collections::BTreeMap::new(),
            committed: collections::BTreeMap::new(),
            proposed: 0,
        };
        let members = (1..=3).fold(lift_consensus::MemberSet::new(), |members, id| {
            members.with(id, member(lift_consensus::MemberRole::Voter))
        });
        for id in 1..=3 {
            cluster.add_host(id, members.clone());
        }
        cluster
    }

    fn add_host(&mut self, id: u64, initial_members: lift_consensus::MemberSet) {
        // Any two clocks stay within the drift bound of 5 %.
        let clock_rate = self.rng.random_range(980..=1_020);
        self.hosts
            .push(host::Host::new(id, initial_members, clock_rate));
    }

    pub fn run_with_faults(&mut self, ms: u64) {
        for _ in 0..ms {
            self.inject_faults();
            self.tick();
        }
    }

    fn inject_faults(&mut self) {
        if self.happens(self.faults.crashes) {
            let position = self.rng.random_range(0..self.hosts.len());
            let operations = self.rng.random_range(0..8);
            self.hosts[position].disk.fail_after(operations);
        }
        if self.happens(self.faults.crashes) {
            let position = self.rng.random_range(0..self.hosts.len());
            self.crash(position);
        }
        if self.happens(6) {
            let some = self.rng.random();
            self.isolated = Some(self.random_host()).filter(|_| some);
        }
        if self.happens(20) {
            let some = self.rng.random();
            let (a, b) = (self.random_host(), self.random_host());
            self.cut_link = Some((a, b)).filter(|_| some);
        }
        if self.happens(self.faults.changes) {
            self.change_members();
        }
        if self.happens(2)
            && let Some(leader) = self.hosts.iter_mut().find(|host| is_leading(host))
        {
            leader
                .inbox
                .push_back(lift_consensus::Event::TransferLeadership);
        }
    }

    fn random_host(&mut self) -> u64 {
        let position = self.rng.random_range(0..self.hosts.len());
        self.hosts[position].id
    }

    /// Returns at random whether an event that happens `count` times in 10 s on average happens
    /// in this ms.
    fn happens(&mut self, count: u32) -> bool {
        self.rng.random_range(0..10_000) < count
    }

    fn crash(&mut self, position: usize) {
        let longest = if self.rng.random() { 20 } else { 600 };
        let restart_due = self.ms + self.rng.random_range(1..longest);
        self.hosts[position].crash(&mut self.rng, restart_due);
    }

    fn change_members(&mut self) {
        let Some(leader) = self.hosts.iter().position(is_leading) else {
            return;
        };
        let members = self.hosts[leader]
            .replica
            .as_ref()
            .unwrap()
            .members()
            .clone();
        let ids: Vec<_> = members.iter().map(|(id, _)| id).collect();
        let id = ids[self.rng.random_range(0..ids.len())];
        let change = match self.rng.random_range(0..4) {
            0 if ids.len() < 5 => {
                let id = members.highest_id() + 1;
                if !self.hosts.iter().any(|host| host.id == id) {
                    self.add_host(id, lift_consensus::MemberSet::new());
                }
                let member = member(lift_consensus::MemberRole::Learner);
                let (peer, client) = (member.peer, member.client);
                lift_consensus::MemberChange::AddLearner { id, peer, client }
            }
            1 if ids.len() > 3 => lift_consensus::MemberChange::Remove { id },
            _ => lift_consensus::MemberChange::Promote { id },
        };
        let event = lift_consensus::Event::Change(change);
        self.hosts[leader].inbox.push_back(event);
    }

    pub(super) fn tick(&mut self) {
        self.ms += 1;
        for message in self.network.remove(&self.ms).unwrap_or_default() {
            let target = self.hosts.iter_mut().find(|host| host.id == message.to);
            if let Some(host) = target.filter(|host| host.replica.is_some()) {
                host.inbox
                    .push_back(lift_consensus::Event::Message(message));
            }
        }
        for position in 0..self.hosts.len() {
            self.run_host(position);
        }
        self.check_leases();
    }

    fn run_host(&mut self, position: usize) {
        let ms = self.ms;
        let host = &mut self.hosts[position];
        let now = host.local_time(self.base, ms);
        let starts = host.replica.is_none() && ms >= host.restart_due;
        if starts && !host.start(now, &mut self.rng) {
            self.crash(position);
            return;
        }
        let Some(replica) = &host.replica else { return };
        if now >= replica.deadline() {
            host.inbox.push_back(lift_consensus::Event::Tick);
        }
        let proposes =
            ms.is_multiple_of(PROPOSAL_INTERVAL_MS) && (ms / LOAD_PERIOD_MS).is_multiple_of(2);
        if proposes && replica.is_leading() {
            self.proposed += 1;
            let command = bytes::Bytes::from(format!("command {}", self.proposed));
            let event = lift_consensus::Event::Propose(vec![command]);
            host.inbox.push_back(event);
        }
        let mut healthy = host.handle_events(now);
        if healthy && !host.writes.is_empty() && ms >= host.disk_due {
            host.disk_due = ms + self.rng.random_range(1..6);
            healthy = host.sync_writes() && host.handle_events(now);
        }
        let sent = std::mem::take(&mut host.outbox);
        let applied = std::mem::take(&mut host.newly_applied);
        self.check_applied(position, applied);
        if !healthy {
            self.crash(position);
            return;
        }
        self.check_leader(position);
        let crashes = sent
            .iter()
            .any(|message| self.is_followed_by_crash(message));
        for message in sent {
            self.transmit(message);
        }
        if crashes {
            self.crash(position);
        }
    }

    /// Returns at random whether the sender crashes right after `message`. Only granted votes and
    /// accepted entries, on whose durability others rely, are followed by a crash.
    fn is_followed_by_crash(&mut self, message: &lift_consensus::Message) -> bool {
        let percent = self.faults.acknowledgment_crashes;
        match message.body {
            lift_consensus::MessageBody::VoteReply { granted: true, .. } => {
                self.rng.random_range(0..100) < percent
            }
            lift_consensus::MessageBody::Accepted { .. } => {
                self.rng.random_range(0..1_000) < percent
            }
            _ => false,
        }
    }

    fn transmit(&mut self, message: lift_consensus::Message) {
        let (from, to) = (message.from, message.to);
        let isolated = self.isolated.is_some_and(|id| id == from || id == to);
        let cut_link = self.cut_link == Some((from, to)) || self.cut_link == Some((to, from));
        if isolated || cut_link || self.rng.random_range(0..100) < self.faults.loss {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.faults.duplication);
        for _ in 0..copies {
            let late = self.rng.random_range(0..100) < self.faults.loss;
            let delay = self.rng.random_range(1..if late { 400 } else { 6 });
            let arrivals = self.network.entry(self.ms + delay).or_default();
            arrivals.push(message.clone());
        }
    }
}

pub fn is_leading(host: &host::Host) -> bool {
    let replica = host.replica.as_ref();
    replica.is_some_and(lift_consensus::Replica::is_leading)
}

fn member(role: lift_consensus::MemberRole) -> lift_consensus::Member {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    lift_consensus::Member {
        role,
        peer: address,
        client: address,
    }
}
