//! The journey of a non-idempotent request.
//!
//! Real: the request's state machine at the entry, the claims of the agents, the state
//! machine of control. Fake: network, backend servers and callers.

use std::{collections, time};

use lift_matrix::{Fault, RequestStep};
use lift_route::{AttemptFailure, ClaimedAction, ClaimedEvent, ClaimedRequest};
use lift_state::{ClaimHolder, ClaimReply, Command, CommandReply};
use rand::rngs;
use rand::{RngExt as _, SeedableRng as _};

/// Time after which a sending is given up by its entry, in ms.
const DEADLINE: u64 = 6_000;
/// Longest a caller goes on repeating, in ms.
const CALLER_LIMIT: u64 = 60_000;
/// Time after which a connection without pings is given up, in ms.
const SILENCE: u64 = 2_000;
const AGENTS: usize = 3;

/// What the caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Answer(u32),
    NotRun,
    InDoubt,
}

struct Agent {
    incarnation: u64,
    is_up: bool,
    is_open: bool,
    seen: lift_serve::ClaimTable,
    /// Time until which messages from and to it are held back or lost.
    slow_until: u64,
    silent_until: u64,
    corrupt_next: bool,
}

struct Sending {
    machine: ClaimedRequest,
    is_live: bool,
    /// Whether the caller still waits for this sending.
    has_caller: bool,
    /// Connection to an agent; a higher number replaces lower ones.
    connection: u64,
    answer: Option<u32>,
    outcome: Option<u32>,
    told: Option<Told>,
}

enum Delivery {
    ToEntry {
        sending: usize,
        connection: Option<u64>,
        event: ClaimedEvent,
        value: Option<u32>,
    },
    ToAgent {
        agent: usize,
        sending: usize,
        holder: ClaimHolder,
        is_query: bool,
        connection: u64,
    },
    Finish {
        agent: usize,
        incarnation: u64,
        sending: usize,
        holder: ClaimHolder,
        connection: u64,
    },
    Record {
        agent: usize,
        incarnation: u64,
        holder: ClaimHolder,
        value: u32,
    },
    Revive {
        agent: usize,
        then_kill: Option<usize>,
    },
    Repeat,
    Silent {
        sending: usize,
        connection: u64,
        holder: ClaimHolder,
        is_query: bool,
    },
}

struct World {
    rng: rngs::StdRng,
    base: time::Instant,
    now: u64,
    next: u64,
    queue: collections::BTreeMap<(u64, u64), Delivery>,
    control: lift_state::State,
    control_cut_until: u64,
    agents: Vec<Agent>,
    sendings: Vec<Sending>,
    runs: Vec<u32>,
    reached: Option<RequestStep>,
    step: RequestStep,
    faults: Vec<Fault>,
}

/// Runs one cell with several seeds.
pub fn run(step: RequestStep, fault: Fault) {
    for seed in 0..super::SEEDS {
        let mut world = World::new(step, fault.parts(seed), seed);
        world.start();
        world.drain();
        world.check(seed);
    }
}

fn key() -> lift_state::ClaimKey {
    lift_state::ClaimKey {
        workspace: String::from("crews"),
        service: String::from("ledger"),
        key: String::from("release-1"),
    }
}

impl World {
    fn new(step: RequestStep, faults: Vec<Fault>, seed: u64) -> Self {
        let agents = (0..AGENTS).map(|_| Agent::new(1)).collect();
        Self {
            rng: rngs::StdRng::seed_from_u64(seed),
            base: time::Instant::now(),
            now: 0,
            next: 0,
            queue: collections::BTreeMap::new(),
            control: lift_state::State::new(),
            control_cut_until: 0,
            agents,
            sendings: Vec::new(),
            runs: Vec::new(),
            reached: None,
            step,
            faults,
        }
    }

    fn start(&mut self) {
        self.sendings.push(Sending {
            machine: ClaimedRequest::new(),
            is_live: true,
            has_caller: true,
            connection: 0,
            answer: None,
            outcome: None,
            told: None,
        });
        let sending = self.sendings.len() - 1;
        self.after(
            DEADLINE,
            Delivery::to_entry(sending, ClaimedEvent::DeadlineExceeded),
        );
        self.act(sending, ClaimedAction::SelectHost);
    }

    fn drain(&mut self) {
        let mut steps = 0;
        while let Some(((at, _), delivery)) = self.queue.pop_first() {
            self.now = at;
            self.deliver(delivery);
            steps += 1;
            assert!(steps < 20_000, "the request does not end");
        }
    }

    fn check(&self, seed: u64) {
        let context = format!("seed {seed}, faults {:?}, step {}", self.faults, self.step);
        assert!(self.reached.is_some(), "step not reached: {context}");
        assert!(
            self.runs.len() <= 1,
            "ran {} times: {context}",
            self.runs.len()
        );
        for sending in &self.sendings {
            match sending.told.filter(|_| sending.has_caller) {
                Some(Told::NotRun) => assert!(self.runs.is_empty(), "false not run: {context}"),
                Some(Told::Answer(value)) => {
                    assert_eq!(self.runs, [value], "answer of another run: {context}");
                }
                Some(Told::InDoubt) => {}
                None => assert!(!sending.is_live, "a sending has no end: {context}"),
            }
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::ToEntry {
                sending,
                connection,
                event,
                value,
            } => {
                self.at_entry(sending, connection, event, value);
            }
            Delivery::ToAgent {
                agent,
                sending,
                holder,
                is_query,
                connection,
            } => {
                self.at_agent(agent, sending, holder, is_query, connection);
            }
            Delivery::Finish {
                agent,
                incarnation,
                sending,
                holder,
                connection,
            } => {
                self.finish(agent, incarnation, sending, holder, connection);
            }
            Delivery::Record {
                agent,
                incarnation,
                holder,
                value,
            } => {
                self.record(agent, incarnation, holder, value);
            }
            Delivery::Revive { agent, then_kill } => self.revive(agent, then_kill),
            Delivery::Repeat => self.start(),
            Delivery::Silent {
                sending,
                connection,
                holder,
                is_query,
            } => {
                self.give_up_connection(sending, connection, holder, is_query);
            }
        }
    }

    fn at_entry(
        &mut self,
        sending: usize,
        connection: Option<u64>,
        event: ClaimedEvent,
        value: Option<u32>,
    ) {
        let state = &mut self.sendings[sending];
        // Answers on a connection that was replaced are dropped.
        if !state.is_live || connection.is_some_and(|c| c != state.connection) {
            return;
        }
        match event {
            ClaimedEvent::Answered(_) => state.answer = value,
            ClaimedEvent::Recorded | ClaimedEvent::Ran(_) => state.outcome = value,
            _ => {}
        }
        let action = state.machine.step(event);
        if matches!(event, ClaimedEvent::Granted(_)) {
            self.reach(RequestStep::ClaimHeld, sending, None);
        }
        self.act(sending, action);
    }

    fn act(&mut self, sending: usize, action: ClaimedAction) {
        match action {
            ClaimedAction::SelectHost => self.choose(sending),
            ClaimedAction::Claim { host, incarnation } => {
                let req = lift_state::ClaimRequest {
                    key: key(),
                    request_hash: lift_types::ChunkHash::of(b"release 1"),
                    host,
                    incarnation,
                };
                let at = time::SystemTime::UNIX_EPOCH + time::Duration::from_millis(self.now);
                self.ask_control(sending, Some(Command::Claim { req, at }));
                self.reach(RequestStep::ClaimRequested, sending, None);
            }
            ClaimedAction::Reassign {
                refused,
                host,
                incarnation,
            } => {
                let req = lift_state::ReassignRequest {
                    key: key(),
                    refused,
                    host,
                    incarnation,
                };
                self.ask_control(sending, Some(Command::Reassign(req)));
            }
            ClaimedAction::ReadClaim => self.ask_control(sending, None),
            ClaimedAction::Send(holder) => {
                self.send_to_agent(sending, holder, false);
                self.reach(RequestStep::CallSent, sending, Some(holder));
            }
            ClaimedAction::Query { holder, .. } => self.send_to_agent(sending, holder, true),
            ClaimedAction::ReturnAnswer => {
                let value = self.sendings[sending].answer;
                self.tell(sending, Told::Answer(value.expect("an answer has a value")));
            }
            ClaimedAction::ReturnOutcome => {
                let value = self.sendings[sending].outcome;
                self.tell(
                    sending,
                    Told::Answer(value.expect("an outcome has a value")),
                );
            }
            ClaimedAction::NotRun { .. } => self.tell(sending, Told::NotRun),
            ClaimedAction::InDoubt { .. } => self.tell(sending, Told::InDoubt),
            ClaimedAction::Ignore => {}
        }
    }

    /// The caller repeats under the same key while it has no answer and no proof.
    fn tell(&mut self, sending: usize, told: Told) {
        self.sendings[sending].told = Some(told);
        self.sendings[sending].is_live = false;
        let waits = self.sendings[sending].has_caller;
        if waits && told == Told::InDoubt && self.now < CALLER_LIMIT {
            self.after(200, Delivery::Repeat);
        }
    }

    fn choose(&mut self, sending: usize) {
        let open: Vec<usize> = (0..AGENTS).filter(|a| self.agents[*a].is_up).collect();
        let event = if open.is_empty() {
            ClaimedEvent::NoHost
        } else {
            let agent = open[self.rng.random_range(0..open.len())];
            let incarnation = self.agents[agent].incarnation;
            ClaimedEvent::HostSelected {
                host: agent as u32,
                incarnation,
            }
        };
        self.after(1, Delivery::to_entry(sending, event));
        self.reach(RequestStep::HostChosen, sending, None);
    }

    /// Applies a command, or reads the claim. While control is cut off, what was sent takes
    /// effect but its answer is lost; every second command does not arrive at all.
    fn ask_control(&mut self, sending: usize, command: Option<Command>) {
        let is_cut = self.now < self.control_cut_until;
        let arrives = !is_cut || self.rng.random();
        let reply = match command {
            Some(command) if arrives => match self.control.apply(&command) {
                CommandReply::Claim(reply) => Some(reply),
                CommandReply::Missing => None,
                other => panic!("unexpected reply {other:?}"),
            },
            _ => self.control.find_claim(&key()),
        };
        let (event, value) = if is_cut {
            (ClaimedEvent::ControlFailed, None)
        } else {
            event_of(reply)
        };
        let delay = if is_cut {
            500
        } else {
            self.rng.random_range(1..8)
        };
        let delivery = Delivery::ToEntry {
            sending,
            connection: None,
            event,
            value,
        };
        self.after(delay, delivery);
    }

    fn send_to_agent(&mut self, sending: usize, holder: ClaimHolder, is_query: bool) {
        let agent = holder.host as usize;
        let connection = self.sendings[sending].connection;
        // A silent connection is noticed by its missing pings. Queries open a new one.
        let is_silent = self.now < self.agents[agent].silent_until && !is_query;
        if !is_silent {
            let delay = self.delay(agent);
            self.after(
                delay,
                Delivery::ToAgent {
                    agent,
                    sending,
                    holder,
                    is_query,
                    connection,
                },
            );
        }
        self.after(
            SILENCE + 100,
            Delivery::Silent {
                sending,
                connection,
                holder,
                is_query,
            },
        );
    }

    fn give_up_connection(
        &mut self,
        sending: usize,
        connection: u64,
        holder: ClaimHolder,
        is_query: bool,
    ) {
        if !self.sendings[sending].is_live || self.sendings[sending].connection != connection {
            return;
        }
        let agent = &self.agents[holder.host as usize];
        let is_healthy = agent.is_up
            && agent.incarnation == holder.incarnation
            && self.now >= agent.slow_until
            && self.now >= agent.silent_until + SILENCE;
        if is_healthy && !is_query {
            // Pings go through, so the entry goes on waiting.
            self.after(
                SILENCE,
                Delivery::Silent {
                    sending,
                    connection,
                    holder,
                    is_query,
                },
            );
            return;
        }
        let event = if is_query {
            ClaimedEvent::QueryFailed(holder)
        } else {
            ClaimedEvent::Failed(holder, AttemptFailure::ConnectionSilent)
        };
        self.break_connection(sending);
        self.at_entry(sending, None, event, None);
    }

    fn break_connection(&mut self, sending: usize) {
        self.sendings[sending].connection += 1;
    }

    fn at_agent(
        &mut self,
        agent: usize,
        sending: usize,
        holder: ClaimHolder,
        is_query: bool,
        connection: u64,
    ) {
        let now = self.base + time::Duration::from_millis(self.now);
        let state = &self.agents[agent];
        if !state.is_up {
            return;
        }
        if state.incarnation != holder.incarnation {
            let event = if is_query {
                ClaimedEvent::Unknown(holder)
            } else {
                ClaimedEvent::Failed(holder, AttemptFailure::ConnectionLost)
            };
            return self.reply(agent, sending, connection, event, None);
        }
        if is_query {
            let (event, value) = match state.seen.query(now, &key(), holder.attempt) {
                lift_serve::AttemptState::Running => (ClaimedEvent::Running(holder), None),
                lift_serve::AttemptState::Ran(_) => {
                    (ClaimedEvent::Ran(holder), self.runs.last().copied())
                }
                lift_serve::AttemptState::WillNotRun => (ClaimedEvent::WillNotRun(holder), None),
                lift_serve::AttemptState::Unknown => (ClaimedEvent::Unknown(holder), None),
            };
            return self.reply(agent, sending, connection, event, value);
        }
        let start = if state.is_open {
            state.seen.start(now, &key(), holder.attempt)
        } else {
            state.seen.refuse(now, &key(), holder.attempt)
        };
        match start {
            lift_serve::ClaimDecision::Run => {
                let value = 100 + self.runs.len() as u32;
                self.runs.push(value);
                let incarnation = holder.incarnation;
                let delay = self.rng.random_range(5..60);
                self.after(
                    delay,
                    Delivery::Finish {
                        agent,
                        incarnation,
                        sending,
                        holder,
                        connection,
                    },
                );
                self.reach(RequestStep::BackendStarted, sending, Some(holder));
            }
            lift_serve::ClaimDecision::WillNotRun => {
                let refused = AttemptFailure::Refused(lift_types::RefusalReason::Switching);
                self.reply(
                    agent,
                    sending,
                    connection,
                    ClaimedEvent::Failed(holder, refused),
                    None,
                );
            }
            lift_serve::ClaimDecision::AlreadyStarted => {
                let end = ClaimedEvent::Failed(holder, AttemptFailure::ConnectionLost);
                self.reply(agent, sending, connection, end, None);
            }
        }
    }

    fn finish(
        &mut self,
        agent: usize,
        incarnation: u64,
        sending: usize,
        holder: ClaimHolder,
        connection: u64,
    ) {
        let state = &self.agents[agent];
        if !state.is_up || state.incarnation != incarnation {
            return;
        }
        state
            .seen
            .finish(&key(), holder.attempt, lift_serve::AttemptState::Ran(None));
        let value = *self.runs.last().expect("it ran");
        self.after(
            1,
            Delivery::Record {
                agent,
                incarnation,
                holder,
                value,
            },
        );
        self.reach(RequestStep::BackendFinished, sending, Some(holder));
        if self.agents[agent].is_up && self.agents[agent].incarnation == incarnation {
            self.reply(
                agent,
                sending,
                connection,
                ClaimedEvent::Answered(holder),
                Some(value),
            );
            self.reach(RequestStep::AnswerSent, sending, Some(holder));
        }
    }

    fn record(&mut self, agent: usize, incarnation: u64, holder: ClaimHolder, value: u32) {
        let state = &self.agents[agent];
        if !state.is_up || state.incarnation != incarnation {
            return;
        }
        if self.now < self.control_cut_until {
            return self.after(
                300,
                Delivery::Record {
                    agent,
                    incarnation,
                    holder,
                    value,
                },
            );
        }
        let outcome = lift_state::Outcome {
            status: 200,
            headers: Vec::new(),
            body: Some(bytes::Bytes::copy_from_slice(&value.to_le_bytes())),
        };
        let req = lift_state::RecordRequest {
            key: key(),
            holder,
            outcome,
        };
        self.control.apply(&Command::Record(req));
    }

    fn reply(
        &mut self,
        agent: usize,
        sending: usize,
        connection: u64,
        event: ClaimedEvent,
        value: Option<u32>,
    ) {
        if self.now < self.agents[agent].silent_until
            && self.sendings[sending].connection == connection
        {
            return;
        }
        if std::mem::take(&mut self.agents[agent].corrupt_next) {
            let holder = holder_of(event);
            let event = match event {
                ClaimedEvent::Answered(_) | ClaimedEvent::Failed(..) => {
                    ClaimedEvent::Failed(holder, AttemptFailure::Damaged)
                }
                _ => ClaimedEvent::QueryFailed(holder),
            };
            self.break_connection(sending);
            return self.after(2, Delivery::to_entry(sending, event));
        }
        let delay = self.delay(agent);
        self.after(
            delay,
            Delivery::ToEntry {
                sending,
                connection: Some(connection),
                event,
                value,
            },
        );
    }

    fn reach(&mut self, step: RequestStep, sending: usize, holder: Option<ClaimHolder>) {
        if self.reached.is_some() || step != self.step {
            return;
        }
        self.reached = Some(step);
        let agent = holder.map_or(0, |holder| holder.host as usize);
        for fault in self.faults.clone() {
            self.inject(fault, agent, sending);
        }
    }

    fn inject(&mut self, fault: Fault, agent: usize, sending: usize) {
        match fault {
            Fault::HostDies => self.kill(agent, None),
            Fault::SecondLoss => self.kill(agent, Some((agent + 1) % AGENTS)),
            Fault::LinkStalls => self.agents[agent].slow_until = self.now + 3_000,
            Fault::DataCorrupt => self.agents[agent].corrupt_next = true,
            Fault::VersionChanges => self.agents[agent].is_open = false,
            Fault::ControlPartitioned => self.control_cut_until = self.now + 3_000,
            Fault::Race => self.start(),
            Fault::AnswerLost | Fault::Restart => {
                // In both cases the caller has no answer. A restarted entry forgets the
                // sending; an entry whose caller is gone goes on.
                self.sendings[sending].has_caller = false;
                if fault == Fault::Restart {
                    self.sendings[sending].is_live = false;
                }
                self.after(50, Delivery::Repeat);
            }
            Fault::ConnectionSilent => self.agents[agent].silent_until = self.now + 10_000,
            Fault::TwoAtOnce => unreachable!("parts are single faults"),
        }
    }

    fn kill(&mut self, agent: usize, then_kill: Option<usize>) {
        self.agents[agent].is_up = false;
        self.after(500, Delivery::Revive { agent, then_kill });
    }

    fn revive(&mut self, agent: usize, then_kill: Option<usize>) {
        self.agents[agent] = Agent::new(self.agents[agent].incarnation + 1);
        if let Some(next) = then_kill {
            self.kill(next, None);
        }
    }

    fn delay(&mut self, agent: usize) -> u64 {
        let late = self.agents[agent].slow_until.saturating_sub(self.now);
        late + self.rng.random_range(1..10)
    }

    fn after(&mut self, delay: u64, delivery: Delivery) {
        self.next += 1;
        self.queue.insert((self.now + delay, self.next), delivery);
    }
}

impl Agent {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            is_up: true,
            is_open: true,
            seen: lift_serve::ClaimTable::new(),
            slow_until: 0,
            silent_until: 0,
            corrupt_next: false,
        }
    }
}

impl Delivery {
    fn to_entry(sending: usize, event: ClaimedEvent) -> Self {
        Self::ToEntry {
            sending,
            connection: None,
            event,
            value: None,
        }
    }
}

fn holder_of(event: ClaimedEvent) -> ClaimHolder {
    match event {
        ClaimedEvent::Answered(holder)
        | ClaimedEvent::Failed(holder, _)
        | ClaimedEvent::Ran(holder)
        | ClaimedEvent::Running(holder)
        | ClaimedEvent::WillNotRun(holder)
        | ClaimedEvent::Unknown(holder) => holder,
        other => panic!("{other:?} names no holder"),
    }
}

fn event_of(reply: Option<ClaimReply>) -> (ClaimedEvent, Option<u32>) {
    match reply {
        None => (ClaimedEvent::Absent, None),
        Some(ClaimReply::New(holder)) => (ClaimedEvent::Granted(holder), None),
        Some(ClaimReply::Pending(holder)) => (ClaimedEvent::Pending(holder), None),
        Some(ClaimReply::Mismatch) => (ClaimedEvent::Mismatch, None),
        Some(ClaimReply::Full) => (ClaimedEvent::Full, None),
        Some(ClaimReply::Recorded(outcome)) => {
            let body = outcome.body.expect("short bodies are kept");
            let value = u32::from_le_bytes(body.as_ref().try_into().expect("4 bytes"));
            (ClaimedEvent::Recorded, Some(value))
        }
    }
}
