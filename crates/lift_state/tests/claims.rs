//! Simulates claims over a network that loses, duplicates and reorders messages, while agents
//! crash and control restarts from snapshots. Guards against a request that two holders may run.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::{HashMap, HashSet};
use std::time::{Duration, SystemTime};

use lift_state::{
    ClaimHolder, ClaimKey, ClaimReply, ClaimRequest, Command, CommandReply, Outcome,
    ReassignRequest, RecordRequest, Registration, State,
};
use lift_types::{ChunkHash, Location};
use proptest::prelude::*;

const HOSTS: u32 = 3;
const KEYS: u16 = 2;

#[derive(Clone, Debug)]
enum Message {
    Claim(ClaimRequest),
    Call(ClaimKey, ClaimHolder),
    Refused(ClaimKey, ClaimHolder),
    Reassign(ReassignRequest),
    Record(RecordRequest),
}

/// Agent that loses its memory in a crash.
#[derive(Clone, Debug, Default)]
struct Agent {
    incarnation: u64,
    handled: HashSet<(ClaimKey, u32)>,
}

struct Simulation {
    state: State,
    agents: HashMap<u32, Agent>,
    network: Vec<Message>,
    starts: u64,
    runs: HashMap<ClaimKey, u32>,
    /// Holders that control returned, and those of them that refused their attempt for good.
    assigned: HashSet<(ClaimKey, ClaimHolder)>,
    refused: HashSet<(ClaimKey, ClaimHolder)>,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            state: State::new(),
            agents: HashMap::new(),
            network: Vec::new(),
            starts: 0,
            runs: HashMap::new(),
            assigned: HashSet::new(),
            refused: HashSet::new(),
        };
        (0..HOSTS).for_each(|host| simulation.start_agent(host));
        simulation
    }

    fn start_agent(&mut self, host: u32) {
        self.starts += 1;
        let registration = Registration {
            location: location(host),
            start_id: self.starts,
        };
        let reply = self.state.apply(&Command::Register(registration));
        let CommandReply::Registered(incarnation) = reply else {
            panic!("{reply:?}");
        };
        let agent = Agent {
            incarnation,
            ..Agent::default()
        };
        self.agents.insert(host, agent);
    }

    fn step(&mut self, action: u8, pick: u16) {
        let host = u32::from(pick) % HOSTS;
        match action {
            0..=2 => {
                let req = ClaimRequest {
                    key: key(pick / 7 % KEYS),
                    request_hash: ChunkHash::of(b"body"),
                    host,
                    incarnation: self.agents[&host].incarnation,
                };
                self.network.push(Message::Claim(req));
            }
            3..=12 if !self.network.is_empty() => {
                let at = usize::from(pick) % self.network.len();
                let message = match action {
                    3 => self.network[at].clone(), // A duplicate stays in the network.
                    _ => self.network.swap_remove(at),
                };
                self.deliver(message, pick);
            }
            13 if !self.network.is_empty() => {
                let at = usize::from(pick) % self.network.len();
                self.network.swap_remove(at);
            }
            14 => self.start_agent(host),
            15 => {
                let mut parts = Vec::new();
                self.state.export(&mut |part| parts.push(part.into_owned()));
                self.state = State::new();
                assert!(self.state.import(parts));
            }
            _ => {}
        }
    }

    fn deliver(&mut self, message: Message, pick: u16) {
        match message {
            Message::Claim(req) => {
                let key = req.key.clone();
                let at = SystemTime::UNIX_EPOCH + Duration::from_secs(1);
                let reply = self.state.apply(&Command::Claim { req, at });
                self.call_holder(key, reply);
            }
            Message::Reassign(req) => {
                let key = req.key.clone();
                let reply = self.state.apply(&Command::Reassign(req));
                self.call_holder(key, reply);
            }
            Message::Record(req) => {
                let reply = self.state.apply(&Command::Record(req));
                assert!(
                    matches!(reply, CommandReply::Claim(ClaimReply::Recorded(_))),
                    "the outcome of a run was not recorded: {reply:?}"
                );
            }
            Message::Call(key, holder) => self.call(key, holder, pick),
            Message::Refused(key, refused) => {
                let host = u32::from(pick) % HOSTS;
                self.network.push(Message::Reassign(ReassignRequest {
                    key,
                    refused,
                    host,
                    incarnation: self.agents[&host].incarnation,
                }));
            }
        }
    }

    /// Sends the request to the holder that control returned, even if the claim is not new. This
    /// is the worst case of a duplicated call.
    fn call_holder(&mut self, key: ClaimKey, reply: CommandReply) {
        let CommandReply::Claim(ClaimReply::New(holder) | ClaimReply::Pending(holder)) = reply
        else {
            return;
        };
        self.assigned.insert((key.clone(), holder));
        self.network.push(Message::Call(key, holder));
    }

    /// An agent runs or refuses an attempt once, and only for its own incarnation. A later
    /// incarnation can't know whether an earlier one ran the attempt, so it sends no refusal.
    fn call(&mut self, key: ClaimKey, holder: ClaimHolder, pick: u16) {
        let agent = self.agents.get_mut(&holder.host).unwrap();
        if agent.incarnation != holder.incarnation
            || !agent.handled.insert((key.clone(), holder.attempt))
        {
            return;
        }
        if pick.is_multiple_of(2) {
            self.refused.insert((key.clone(), holder));
            self.network.push(Message::Refused(key, holder));
            return;
        }
        *self.runs.entry(key.clone()).or_default() += 1;
        let outcome = Outcome {
            status: 200,
            headers: Vec::new(),
            body: None,
        };
        self.network.push(Message::Record(RecordRequest {
            key,
            holder,
            outcome,
        }));
    }

    fn check(&self) {
        assert!(self.runs.values().all(|runs| *runs <= 1), "ran twice");
        let may_run: Vec<_> = self.assigned.difference(&self.refused).collect();
        let keys: HashSet<_> = may_run.iter().map(|(key, _)| key).collect();
        assert_eq!(keys.len(), may_run.len(), "{may_run:?}");
    }
}

fn key(number: u16) -> ClaimKey {
    ClaimKey {
        workspace: "depot".into(),
        service: "ledger".into(),
        key: number.to_string(),
    }
}

fn location(host: u32) -> Location {
    Location {
        region: "r1".into(),
        failure_domain: "d1".into(),
        host,
    }
}

fn claim(state: &State, number: u16, body: &[u8], at: Duration) -> ClaimReply {
    let req = ClaimRequest {
        key: key(number),
        request_hash: ChunkHash::of(body),
        host: 1,
        incarnation: 1,
    };
    let at = SystemTime::UNIX_EPOCH + at;
    match state.apply(&Command::Claim { req, at }) {
        CommandReply::Claim(reply) => reply,
        other => panic!("{other:?}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]
    #[test]
    fn at_most_one_holder_may_run(steps in prop::collection::vec((0..16_u8, any::<u16>()), 1..200)) {
        let mut simulation = Simulation::new();
        for (action, pick) in steps {
            simulation.step(action, pick);
            simulation.check();
        }
    }
}

/// Guards against a second run of a request whose key is used again with another body, and
/// against claims that are dropped before the end of their retention.
#[test]
fn a_claim_is_retained_for_a_day() {
    let state = State::new();
    let hour = Duration::from_hours(1);
    assert!(matches!(claim(&state, 1, b"a", hour), ClaimReply::New(_)));
    assert_eq!(claim(&state, 1, b"b", hour), ClaimReply::Mismatch);
    let last = hour + lift_state::CLAIM_RETENTION - Duration::from_secs(1);
    assert!(matches!(
        claim(&state, 1, b"a", last),
        ClaimReply::Pending(_)
    ));
    let after = last + Duration::from_secs(1);
    assert!(matches!(claim(&state, 1, b"a", after), ClaimReply::New(_)));
    // A proposer whose log time is behind neither drops a claim nor restores an expired one.
    assert!(matches!(
        claim(&state, 1, b"a", hour),
        ClaimReply::Pending(_)
    ));
}

/// Guards against new claims that evict earlier ones from a full group.
#[test]
fn a_full_group_rejects_new_claims() {
    let state = State::new();
    let max_claims = usize::from(lift_state::CLAIM_KEY_GROUPS) * lift_state::MAX_CLAIMS_PER_GROUP;
    let at = Duration::ZERO;
    let full = (0..=u32::MAX).find(|i| {
        let req = ClaimRequest {
            key: ClaimKey {
                key: i.to_string(),
                ..key(0)
            },
            request_hash: ChunkHash([0; 32]),
            host: 1,
            incarnation: 1,
        };
        let at = SystemTime::UNIX_EPOCH + at;
        let reply = state.apply(&Command::Claim { req, at });
        reply == CommandReply::Claim(ClaimReply::Full)
    });
    assert!(full.unwrap() as usize > max_claims * 9 / 10);
    assert!(matches!(claim(&state, 0, b"", at), ClaimReply::Mismatch));
}

/// Guards against a late duplicate of a registration that replaces a later start of the agent.
#[test]
fn a_duplicate_registration_does_not_replace_a_later_start() {
    let state = State::new();
    let register = |start_id| {
        let location = location(1);
        state.apply(&Command::Register(Registration { location, start_id }))
    };
    assert_eq!(register(10), CommandReply::Registered(1));
    assert_eq!(register(20), CommandReply::Registered(2));
    assert_eq!(register(10), CommandReply::Registered(1));
    assert_eq!(state.incarnation(1), Some(2));
    let fence = |incarnation| {
        let host = 1;
        state.apply(&Command::Fence { host, incarnation })
    };
    assert_eq!(fence(1), CommandReply::Superseded(2));
    assert_eq!(fence(2), CommandReply::Fenced(1));
    assert_eq!(fence(2), CommandReply::Fenced(2));
}
