//! The journey of a change of the configuration.
//!
//! Real: the replicated log's decisions and files, and the state machine of control. Fake:
//! network, disks that forget what was not synced, operators' programs and nodes.

#[path = "../../../lift_disk/tests/model/host.rs"]
mod host;

use std::{collections, time};

use lift_consensus::{Event, LeadershipStatus, MemberChange};
use lift_matrix::{ConfigStep, Fault};
use lift_state::{ChangeReply, CommandReply};
use rand::rngs;
use rand::{RngExt as _, SeedableRng as _};

use super::config_parts::{Client, Machine, Node};

/// Time after which an operator's program sends its change again, in ms.
const RESEND: u64 = 1_500;
/// Time between two confirmations of a node, in ms.
const CONFIRM_EVERY: u64 = 500;
/// Time in which an accepted change must be in force, in ms.
const IN_FORCE: u64 = 3_000;
/// Length of a journey, in ms.
const LENGTH: u64 = 15_000;
/// Longest time before the journey, in ms.
const WARM_UP: u64 = 60_000;
const NODES: usize = 3;

struct World {
    rng: rngs::StdRng,
    base: time::Instant,
    ms: u64,
    hosts: Vec<host::Host>,
    machines: Vec<Machine>,
    network: collections::BTreeMap<u64, Vec<lift_consensus::Message>>,
    clients: Vec<Client>,
    nodes: Vec<Node>,
    /// First answer to each change, and when each revision was accepted.
    answers: collections::HashMap<String, ChangeReply>,
    accepted: collections::BTreeMap<u64, u64>,
    entry: u64,
    reached: Option<ConfigStep>,
    step: ConfigStep,
    faults: Vec<Fault>,
    isolated: Option<(u64, u64)>,
    silent: Option<(u64, u64, u64)>,
    late: Option<(u64, u64)>,
    lossy: Option<(u64, u64)>,
    repair: Option<(u64, u64)>,
    loses_answer: bool,
    follows_up: bool,
    context: String,
}

/// Runs one cell with several seeds.
pub fn run(step: ConfigStep, fault: Fault) {
    for seed in 0..super::SEEDS {
        let mut world = World::new(step, fault.parts(seed), seed);
        world.warm_up();
        world.add_client("first");
        for _ in 0..LENGTH {
            world.tick();
        }
        world.check_end();
    }
}

fn member(role: lift_consensus::MemberRole) -> lift_consensus::Member {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    lift_consensus::Member {
        role,
        peer: address,
        client: address,
    }
}

impl World {
    fn new(step: ConfigStep, faults: Vec<Fault>, seed: u64) -> Self {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let voter = || member(lift_consensus::MemberRole::Voter);
        let members = (1..=3).fold(lift_consensus::MemberSet::new(), |m, id| {
            m.with(id, voter())
        });
        let hosts =
            (1..=3).map(|id| host::Host::new(id, members.clone(), rng.random_range(980..=1_020)));
        Self {
            hosts: hosts.collect(),
            machines: (0..3).map(|_| Machine::new()).collect(),
            rng,
            base: time::Instant::now(),
            ms: 0,
            network: collections::BTreeMap::new(),
            clients: Vec::new(),
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            answers: collections::HashMap::new(),
            accepted: collections::BTreeMap::new(),
            entry: u64::MAX,
            reached: None,
            step,
            context: format!("seed {seed}, faults {faults:?}, step {step}"),
            faults,
            isolated: None,
            silent: None,
            late: None,
            lossy: None,
            repair: None,
            loses_answer: false,
            follows_up: false,
        }
    }

    /// Elects a leader and makes changes, hundreds where the cell restarts all members.
    fn warm_up(&mut self) {
        let changes = if self.faults.contains(&Fault::Restart) {
            300
        } else {
            3
        };
        for expected in 0..changes {
            let client = Client::new(format!("warm-up {expected}"), expected, self.ms);
            let command = bytes::Bytes::from(postcard::to_stdvec(&client.command).unwrap());
            while !self.accepted.contains_key(&(expected + 1)) {
                let leader = self.leader().filter(|_| self.ms.is_multiple_of(50));
                if let Some(leader) = leader {
                    let event = Event::Propose(vec![command.clone()]);
                    self.hosts[leader].inbox.push_back(event);
                }
                self.tick();
                assert!(self.ms < WARM_UP, "warm-up at {expected}: {}", self.context);
            }
        }
        while self.nodes.iter().any(|node| node.revision < changes) {
            self.tick();
            assert!(self.ms < WARM_UP, "nodes do not follow: {}", self.context);
        }
    }

    fn add_client(&mut self, id: &str) {
        let expected = self
            .accepted
            .keys()
            .next_back()
            .copied()
            .unwrap_or_default();
        self.clients
            .push(Client::new(String::from(id), expected, self.ms));
    }

    /// A host that leads within its lease, has applied all earlier commands and can be
    /// reached from outside the cut.
    fn leader(&self) -> Option<usize> {
        (0..self.hosts.len())
            .find(|host| self.may_serve(*host) && !self.is_isolated(self.hosts[*host].id))
    }

    fn may_serve(&self, position: usize) -> bool {
        let host = &self.hosts[position];
        let Some(replica) = &host.replica else {
            return false;
        };
        let now = host.local_time(self.base, self.ms);
        matches!(
            replica.leadership_status(),
            LeadershipStatus::Leader { lease_until, .. } if now < lease_until
        )
    }

    fn is_isolated(&self, id: u64) -> bool {
        self.isolated
            .is_some_and(|(isolated, until)| isolated == id && self.ms < until)
    }

    fn tick(&mut self) {
        self.ms += 1;
        for message in self.network.remove(&self.ms).unwrap_or_default() {
            let target = self.hosts.iter_mut().find(|host| host.id == message.to);
            if let Some(host) = target.filter(|host| host.replica.is_some()) {
                host.inbox.push_back(Event::Message(message));
            }
        }
        for position in 0..self.hosts.len() {
            self.run_host(position);
        }
        self.run_repair();
        for client in 0..self.clients.len() {
            self.run_client(client);
        }
        for node in 0..NODES {
            self.run_node(node);
        }
        self.check_now();
    }

    fn run_host(&mut self, position: usize) {
        let ms = self.ms;
        let host = &mut self.hosts[position];
        let now = host.local_time(self.base, ms);
        if host.replica.is_none() && ms >= host.restart_due {
            assert!(
                host.start(now, &mut self.rng),
                "disk failed: {}",
                self.context
            );
        }
        let Some(replica) = &host.replica else { return };
        if now >= replica.deadline() {
            host.inbox.push_back(Event::Tick);
        }
        host.handle_events(now);
        let mut has_synced = false;
        if !host.writes.is_empty() && ms >= host.disk_due {
            host.disk_due = ms + self.rng.random_range(1..6);
            has_synced = host.sync_writes() && host.handle_events(now);
        }
        let sent = std::mem::take(&mut host.outbox);
        host.newly_applied.clear();
        for message in sent {
            self.transmit(message);
        }
        self.apply(position);
        self.watch_log(position, has_synced);
    }

    fn transmit(&mut self, message: lift_consensus::Message) {
        let (from, to, ms) = (message.from, message.to, self.ms);
        let is_silent = self.silent.is_some_and(|(a, b, until)| {
            ms < until && ((a, b) == (from, to) || (b, a) == (from, to))
        });
        let is_lost = self
            .lossy
            .is_some_and(|(id, until)| id == from && ms < until);
        if self.is_isolated(from) || self.is_isolated(to) || is_silent || is_lost {
            return;
        }
        let late = self.late.filter(|(id, _)| *id == from);
        let held = late.map_or(0, |(_, until)| until.saturating_sub(ms));
        let arrival = ms + held + self.rng.random_range(1..5);
        self.network.entry(arrival).or_default().push(message);
    }

    /// Applies new commands at a member and hands answers to the clients that wait there.
    fn apply(&mut self, position: usize) {
        let host = &self.hosts[position];
        let replies = self.machines[position].follow(&host.state, host.applied);
        for (id, reply) in replies {
            let CommandReply::Change(reply) = reply else {
                continue;
            };
            let first = self
                .answers
                .entry(id.clone())
                .or_insert_with(|| reply.clone());
            assert_eq!(*first, reply, "another answer to {id}: {}", self.context);
            if let ChangeReply::Accepted { revision } = reply {
                self.accepted.entry(revision).or_insert(self.ms);
            }
            self.answer(position, &id, &reply);
        }
    }

    fn answer(&mut self, position: usize, id: &str, reply: &ChangeReply) {
        let waits = |client: &&mut Client| client.id() == id && client.waits_at == Some(position);
        let Some(client) = self.clients.iter_mut().find(waits) else {
            return;
        };
        client.waits_at = None;
        if std::mem::take(&mut self.loses_answer) {
            return;
        }
        client.answer.get_or_insert_with(|| reply.clone());
        self.reach(ConfigStep::Answered);
        if std::mem::take(&mut self.follows_up) {
            self.add_client("follow-up");
        }
    }

    fn watch_log(&mut self, position: usize, has_synced: bool) {
        let Some(replica) = &self.hosts[position].replica else {
            return;
        };
        let is_leading = replica.is_leading();
        let has_entry = replica.last_index() >= self.entry;
        let is_committed = replica.commit_index() >= self.entry;
        if has_synced && has_entry && is_leading {
            self.reach(ConfigStep::LeaderSynced);
        }
        if has_synced && has_entry && !is_leading {
            self.reach(ConfigStep::FollowerSynced);
        }
        if is_committed {
            self.reach(ConfigStep::Committed);
        }
    }

    fn run_client(&mut self, client: usize) {
        let state = &self.clients[client];
        if state.answer.is_some() || (state.waits_at.is_some() && self.ms < state.asked_at + RESEND)
        {
            return;
        }
        let Some(leader) = self.leader() else { return };
        let command = bytes::Bytes::from(postcard::to_stdvec(&state.command).unwrap());
        self.hosts[leader]
            .inbox
            .push_back(Event::Propose(vec![command]));
        self.clients[client].waits_at = Some(leader);
        self.clients[client].asked_at = self.ms;
        if self.entry == u64::MAX {
            let replica = self.hosts[leader].replica.as_ref().expect("leads");
            self.entry = replica.last_index() + 1;
        }
        self.reach(ConfigStep::ChangeReceived);
    }

    /// A node asks any member that leads within its lease. The first node is on the side of
    /// a leader that is cut off.
    fn run_node(&mut self, node: usize) {
        if !self.ms.is_multiple_of(CONFIRM_EVERY) {
            return;
        }
        let asked = (0..self.hosts.len()).find(|host| {
            let is_cut = self.is_isolated(self.hosts[*host].id);
            let cut_exists = self.isolated.is_some_and(|(_, until)| self.ms < until);
            let is_reached = if cut_exists {
                is_cut == (node == 0)
            } else {
                true
            };
            is_reached && self.may_serve(*host)
        });
        let Some(position) = asked else { return };
        let revision = self.machines[position].revision();
        let state = &mut self.nodes[node];
        assert!(
            revision >= state.revision,
            "node {node} goes back: {}",
            self.context
        );
        state.revision = revision;
        state.confirmed_at = self.ms;
        if self.reached_change(node) {
            self.reach(ConfigStep::Applied);
        }
        if (0..NODES).all(|node| self.reached_change(node)) {
            self.reach(ConfigStep::Confirmed);
        }
    }

    fn reached_change(&self, node: usize) -> bool {
        let answer = self
            .clients
            .first()
            .and_then(|client| self.answers.get(client.id()));
        match answer {
            Some(ChangeReply::Accepted { revision }) => self.nodes[node].revision >= *revision,
            _ => false,
        }
    }

    fn check_now(&self) {
        for (revision, at) in &self.accepted {
            for (i, node) in self.nodes.iter().enumerate() {
                let is_due = self.ms > at + IN_FORCE;
                let is_stopped = self.ms >= node.confirmed_at + 2_500;
                let is_in_force = node.revision >= *revision || is_stopped;
                assert!(
                    !is_due || is_in_force,
                    "revision {revision} at node {i}: {}",
                    self.context
                );
            }
        }
    }

    fn check_end(&self) {
        assert!(self.reached.is_some(), "step not reached: {}", self.context);
        let mut accepted = 0;
        for client in &self.clients {
            let answer = client.answer.as_ref();
            let answer =
                answer.unwrap_or_else(|| panic!("no answer to {}: {}", client.id(), self.context));
            accepted += usize::from(matches!(answer, ChangeReply::Accepted { .. }));
        }
        let races = usize::from(self.faults.contains(&Fault::Race));
        assert_eq!(
            accepted + races,
            self.clients.len(),
            "winners: {}",
            self.context
        );
        let last = *self
            .accepted
            .keys()
            .next_back()
            .expect("a change was accepted");
        let leader = self
            .leader()
            .unwrap_or_else(|| panic!("no leader: {}", self.context));
        let members = self.hosts[leader]
            .replica
            .as_ref()
            .expect("leads")
            .members()
            .clone();
        for (host, machine) in self.hosts.iter().zip(&self.machines) {
            if members.get(host.id).is_some() {
                assert_eq!(
                    machine.revision(),
                    last,
                    "member {}: {}",
                    host.id,
                    self.context
                );
                assert_eq!(machine.audited(), last, "audit log: {}", self.context);
            }
        }
        for node in &self.nodes {
            assert_eq!(node.revision, last, "node: {}", self.context);
        }
    }

    fn reach(&mut self, step: ConfigStep) {
        if self.clients.is_empty() || self.reached.is_some() || step != self.step {
            return;
        }
        self.reached = Some(step);
        for fault in self.faults.clone() {
            self.inject(fault);
        }
    }

    fn inject(&mut self, fault: Fault) {
        let leading = |host: &host::Host| {
            host.replica
                .as_ref()
                .is_some_and(lift_consensus::Replica::is_leading)
        };
        let leader = self.hosts.iter().position(leading).unwrap_or(0);
        let id = self.hosts[leader].id;
        let follower = (leader + 1) % 3;
        match fault {
            Fault::HostDies => self.crash(leader, 800),
            Fault::LinkStalls => self.late = Some((id, self.ms + 700)),
            Fault::DataCorrupt => self.lossy = Some((id, self.ms + 200)),
            Fault::VersionChanges => self.follows_up = true,
            Fault::ControlPartitioned => self.isolated = Some((id, self.ms + 6_000)),
            Fault::Race => {
                let expected = self.clients[0].expected();
                self.clients
                    .push(Client::new(String::from("rival"), expected, self.ms));
            }
            Fault::AnswerLost => self.lose_answer(),
            Fault::SecondLoss => self.lose_disk(follower),
            Fault::Restart => (0..self.hosts.len()).for_each(|host| self.crash(host, 100)),
            Fault::ConnectionSilent => {
                self.silent = Some((id, self.hosts[follower].id, self.ms + 2_000));
            }
            Fault::TwoAtOnce => unreachable!("parts are single faults"),
        }
        if fault == Fault::VersionChanges && self.clients[0].answer.is_some() {
            self.follows_up = false;
            self.add_client("follow-up");
        }
    }

    /// Loses the next answer, or the one that has just come.
    fn lose_answer(&mut self) {
        let client = &mut self.clients[0];
        if client.answer.take().is_none() {
            self.loses_answer = true;
        }
    }

    fn crash(&mut self, position: usize, downtime: u64) {
        let restart_due = self.ms + downtime;
        self.hosts[position].crash(&mut self.rng, restart_due);
        for client in &mut self.clients {
            if client.waits_at == Some(position) {
                client.waits_at = None;
            }
        }
    }

    /// The host comes back with an empty disk under a new identifier.
    fn lose_disk(&mut self, position: usize) {
        let lost = self.hosts[position].id;
        self.hosts[position].crash(&mut self.rng, u64::MAX);
        let new = 1 + self.hosts.iter().map(|host| host.id).max().expect("hosts");
        let host = host::Host::new(new, lift_consensus::MemberSet::new(), 1_000);
        self.hosts.push(host);
        self.machines.push(Machine::new());
        self.repair = Some((lost, new));
    }

    /// Replaces a member that lost its disk: adds a learner, promotes it, removes the lost
    /// one, and loses the leader right after.
    fn run_repair(&mut self) {
        let Some((lost, new)) = self.repair else {
            return;
        };
        let Some(leader) = self.leader().filter(|_| self.ms.is_multiple_of(20)) else {
            return;
        };
        let members = self.hosts[leader]
            .replica
            .as_ref()
            .expect("leads")
            .members()
            .clone();
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let change = match members.get(new) {
            None => MemberChange::AddLearner {
                id: new,
                peer: address,
                client: address,
            },
            Some(_) if !members.is_voter(new) => MemberChange::Promote { id: new },
            Some(_) if members.get(lost).is_some() => MemberChange::Remove { id: lost },
            Some(_) => {
                self.repair = None;
                return self.crash(leader, 800);
            }
        };
        self.hosts[leader].inbox.push_back(Event::Change(change));
    }
}
