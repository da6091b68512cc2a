//! The cluster, its network and the checks.

use std::{collections, time};

use rand::rngs;
use rand::{RngExt as _, SeedableRng as _};

use super::{Faults, host};

/// Time between two proposals, in ms.
const PROPOSE_EVERY: u64 = 7;

pub struct World {
    rng: rngs::StdRng,
    faults: Faults,
    base: time::Instant,
    ms: u64,
    hosts: Vec<host::Host>,
    /// Messages by the time of their arrival.
    network: collections::BTreeMap<u64, Vec<lift_consensus::Message>>,
    /// Host that no message reaches or leaves.
    isolated: Option<u64>,
    leaders: collections::BTreeMap<u64, u64>,
    committed: collections::BTreeMap<u64, lift_consensus::Entry>,
    proposed: u64,
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut world = Self {
            rng: rngs::StdRng::seed_from_u64(seed),
            faults,
            base: time::Instant::now(),
            ms: 0,
            hosts: Vec::new(),
            network: collections::BTreeMap::new(),
            isolated: None,
            leaders: collections::BTreeMap::new(),
            committed: collections::BTreeMap::new(),
            proposed: 0,
        };
        let members = (1..=3).fold(lift_consensus::MemberSet::new(), |members, id| {
            members.with(id, member(lift_consensus::MemberRole::Voter))
        });
        for id in 1..=3 {
            world.add_host(id, members.clone());
        }
        world
    }

    fn add_host(&mut self, id: u64, initial: lift_consensus::MemberSet) {
        // Within the drift bound of 5 % between any two clocks.
        let clock = self.rng.random_range(980..=1_020);
        self.hosts.push(host::Host::new(id, initial, clock));
    }

    pub fn run_with_faults(&mut self, ms: u64) {
        for _ in 0..ms {
            self.inject();
            self.tick();
        }
    }

    /// Ends all faults, waits until the members are equal and returns how many entries are
    /// committed.
    pub fn run_healed(&mut self, ms: u64) -> usize {
        self.faults = Faults {
            loss: 0,
            doubling: 0,
            crashes: 0,
            changes: 0,
        };
        self.isolated = None;
        for host in &mut self.hosts {
            host.disk.fail_after(u64::MAX);
        }
        for _ in 0..ms {
            self.tick();
        }
        let last = self.committed.keys().next_back().copied().unwrap_or(0);
        let leading = self.hosts.iter().filter(|host| is_leading(host));
        let leader = leading.max_by_key(|host| host.replica.as_ref().unwrap().term());
        let leader = leader.expect("no leader after the faults ended");
        let members = leader.replica.as_ref().unwrap().members().clone();
        for host in self
            .hosts
            .iter()
            .filter(|host| members.get(host.id).is_some())
        {
            assert!(host.applied + 20 >= last, "host {} is behind", host.id);
            for (index, command) in host.state.range(..=last) {
                let entry = &self.committed[index];
                assert_eq!(
                    entry.payload,
                    lift_consensus::Payload::Command(command.clone()),
                    "host {} has another command at {index}",
                    host.id
                );
            }
            let commands = self
                .committed
                .range(..=host.applied)
                .filter(|(_, entry)| matches!(entry.payload, lift_consensus::Payload::Command(_)));
            assert_eq!(
                host.state.len(),
                commands.count(),
                "host {} lost commands",
                host.id
            );
        }
        self.committed.len()
    }

    fn inject(&mut self) {
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
            let position = self.rng.random_range(0..self.hosts.len());
            self.isolated = Some(self.hosts[position].id).filter(|_| some);
        }
        if self.happens(self.faults.changes) {
            self.change_members();
        }
        if self.happens(2)
            && let Some(leader) = self.hosts.iter_mut().find(|host| is_leading(host))
        {
            leader.inbox.push_back(lift_consensus::Event::Transfer);
        }
    }

    /// Whether something that happens `count` times in 10 s happens now.
    fn happens(&mut self, count: u32) -> bool {
        self.rng.random_range(0..10_000) < count
    }

    fn crash(&mut self, position: usize) {
        let restart_due = self.ms + self.rng.random_range(1..600);
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
                let id = members.highest() + 1;
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

    fn tick(&mut self) {
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
        let now = host.local(self.base, ms);
        let starts = host.replica.is_none() && ms >= host.restart_due;
        if starts && !host.start(now, &mut self.rng) {
            self.crash(position);
            return;
        }
        let Some(replica) = &host.replica else { return };
        if now >= replica.deadline() {
            host.inbox.push_back(lift_consensus::Event::Tick);
        }
        if ms.is_multiple_of(PROPOSE_EVERY) && replica.is_leading() {
            self.proposed += 1;
            let command = bytes::Bytes::from(format!("command {}", self.proposed));
            let event = lift_consensus::Event::Propose(vec![command]);
            host.inbox.push_back(event);
        }
        let mut healthy = host.work(now);
        if healthy && !host.writes.is_empty() && ms >= host.disk_due {
            host.disk_due = ms + self.rng.random_range(1..6);
            healthy = host.sync() && host.work(now);
        }
        let sent = std::mem::take(&mut host.outbox);
        let applied = std::mem::take(&mut host.newly_applied);
        self.check_applied(position, applied);
        if !healthy {
            self.crash(position);
            return;
        }
        self.check_leader(position);
        for message in sent {
            self.transmit(message);
        }
    }

    fn transmit(&mut self, message: lift_consensus::Message) {
        let cut = |id| self.isolated == Some(id);
        if cut(message.from) || cut(message.to) || self.rng.random_range(0..100) < self.faults.loss
        {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.faults.doubling);
        for _ in 0..copies {
            let late = self.rng.random_range(0..100) < self.faults.loss;
            let delay = self.rng.random_range(1..if late { 400 } else { 6 });
            let arrivals = self.network.entry(self.ms + delay).or_default();
            arrivals.push(message.clone());
        }
    }

    fn check_leader(&mut self, position: usize) {
        let host = &self.hosts[position];
        if !is_leading(host) {
            return;
        }
        let term = host.replica.as_ref().unwrap().term();
        let first = *self.leaders.entry(term).or_insert(host.id);
        assert_eq!(first, host.id, "two leaders in term {term}");
    }

    fn check_applied(&mut self, position: usize, applied: Vec<lift_consensus::Entry>) {
        let id = self.hosts[position].id;
        for entry in applied {
            let first = self
                .committed
                .entry(entry.index)
                .or_insert_with(|| entry.clone());
            assert_eq!(*first, entry, "host {id} applied another entry");
        }
    }

    /// At no time may two hosts hold a valid lease by their own clocks.
    fn check_leases(&self) {
        let valid = self.hosts.iter().filter(|host| {
            let now = host.local(self.base, self.ms);
            let standing = host.replica.as_ref().map(lift_consensus::Replica::standing);
            matches!(standing, Some(lift_consensus::Standing::Leader { lease_until, .. })
                if lease_until > now)
        });
        let ids: Vec<_> = valid.map(|host| host.id).collect();
        assert!(
            ids.len() < 2,
            "hosts {ids:?} hold a lease at {} ms",
            self.ms
        );
    }
}

fn is_leading(host: &host::Host) -> bool {
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
