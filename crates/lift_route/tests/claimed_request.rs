//! Guards against a second run of a non-idempotent request and against a false "not run", with
//! lost, duplicate, late and reordered events, crashed agents, and several entries that use one
//! key.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections;

use lift_route::{AttemptFailure, ClaimedAction, ClaimedEvent, ClaimedRequest};
use lift_state::ClaimHolder;
use lift_types::RefusalReason;
use proptest::prelude::*;

const HOSTS: u32 = 3;

/// State of an attempt as recorded by its holder.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Attempt {
    Running,
    Ran,
    WillNotRun,
    Unknown,
}

/// A model of control, agents and backend server for one key.
#[derive(Debug, Default)]
struct World {
    claim: Option<ClaimHolder>,
    is_recorded: bool,
    attempts: collections::BTreeMap<(u32, u64), (u32, Attempt)>,
    incarnations: [u64; HOSTS as usize],
    runs: u32,
}

impl World {
    fn claim(&mut self, host: u32, incarnation: u64) -> ClaimedEvent {
        if self.is_recorded {
            return ClaimedEvent::Recorded;
        }
        if let Some(holder) = self.claim {
            return ClaimedEvent::Pending(holder);
        }
        let holder = ClaimHolder {
            host,
            incarnation,
            attempt: 1,
        };
        self.claim = Some(holder);
        ClaimedEvent::Granted(holder)
    }

    fn read_claim(&self) -> ClaimedEvent {
        match (self.is_recorded, self.claim) {
            (true, _) => ClaimedEvent::Recorded,
            (false, Some(holder)) => ClaimedEvent::Pending(holder),
            (false, None) => ClaimedEvent::Absent,
        }
    }

    fn reassign(&mut self, refused: ClaimHolder, host: u32, incarnation: u64) -> ClaimedEvent {
        if self.is_recorded || self.claim != Some(refused) {
            return self.read_claim();
        }
        let holder = ClaimHolder {
            host,
            incarnation,
            attempt: refused.attempt + 1,
        };
        self.claim = Some(holder);
        ClaimedEvent::Granted(holder)
    }

    /// Delivers a call to its holder, which follows the rules of `lift_serve`.
    fn deliver(&mut self, holder: ClaimHolder, fault_seed: u8) -> ClaimedEvent {
        let refused = AttemptFailure::Refused(RefusalReason::Switching);
        let lost = ClaimedEvent::Failed(holder, AttemptFailure::ConnectionLost);
        if self.incarnations[holder.host as usize] != holder.incarnation {
            return ClaimedEvent::Failed(holder, refused);
        }
        let key = (holder.host, holder.incarnation);
        match self.attempts.get(&key) {
            Some((_, state)) if *state != Attempt::WillNotRun => return lost,
            Some((attempt, _)) if holder.attempt <= *attempt => {
                return ClaimedEvent::Failed(holder, refused);
            }
            _ => {}
        }
        let mut record = |state| self.attempts.insert(key, (holder.attempt, state));
        match fault_seed % 6 {
            0 => {
                record(Attempt::WillNotRun);
                ClaimedEvent::Failed(holder, refused)
            }
            1 => ClaimedEvent::Failed(holder, AttemptFailure::NotSent),
            2 => lost,
            3 => {
                record(Attempt::Running);
                self.runs += 1;
                lost
            }
            4 => {
                record(Attempt::Unknown);
                self.runs += 1;
                ClaimedEvent::Failed(holder, AttemptFailure::Damaged)
            }
            _ => {
                record(Attempt::Ran);
                self.runs += 1;
                ClaimedEvent::Answered(holder)
            }
        }
    }

    fn query(&mut self, holder: ClaimHolder, fault_seed: u8) -> ClaimedEvent {
        if fault_seed.is_multiple_of(5) {
            return ClaimedEvent::QueryFailed(holder);
        }
        if self.incarnations[holder.host as usize] != holder.incarnation {
            return ClaimedEvent::Unknown(holder);
        }
        let key = (holder.host, holder.incarnation);
        let attempt = self.attempts.entry(key).or_insert((0, Attempt::WillNotRun));
        if attempt.1 == Attempt::WillNotRun {
            attempt.0 = attempt.0.max(holder.attempt);
        }
        match attempt.1 {
            Attempt::WillNotRun => ClaimedEvent::WillNotRun(holder),
            Attempt::Ran => ClaimedEvent::Ran(holder),
            Attempt::Unknown => ClaimedEvent::Unknown(holder),
            Attempt::Running => {
                if fault_seed.is_multiple_of(2) {
                    attempt.1 = Attempt::Ran;
                    self.is_recorded = fault_seed.is_multiple_of(4) && self.claim == Some(holder);
                }
                ClaimedEvent::Running(holder)
            }
        }
    }
}

/// One submission through one entry.
struct Entry {
    machine: ClaimedRequest,
    action: ClaimedAction,
    past_events: Vec<ClaimedEvent>,
    /// A call that was sent and may still arrive.
    in_transit: Option<ClaimHolder>,
    sent: Vec<ClaimHolder>,
}

impl Entry {
    fn new() -> Self {
        Self {
            machine: ClaimedRequest::new(),
            action: ClaimedAction::SelectHost,
            past_events: Vec::new(),
            in_transit: None,
            sent: Vec::new(),
        }
    }

    fn perform(&mut self, world: &mut World, fault_seed: u8) -> ClaimedEvent {
        let is_control_lost = fault_seed.is_multiple_of(11);
        match self.action {
            ClaimedAction::SelectHost if fault_seed.is_multiple_of(13) => ClaimedEvent::NoHost,
            ClaimedAction::SelectHost => {
                let host = u32::from(fault_seed) % HOSTS;
                let incarnation = world.incarnations[host as usize];
                ClaimedEvent::HostSelected { host, incarnation }
            }
            ClaimedAction::Claim { host, incarnation } => {
                let reply = world.claim(host, incarnation);
                if is_control_lost {
                    return ClaimedEvent::ControlFailed;
                }
                reply
            }
            ClaimedAction::Reassign {
                refused,
                host,
                incarnation,
            } => {
                let reply = world.reassign(refused, host, incarnation);
                if is_control_lost {
                    return ClaimedEvent::ControlFailed;
                }
                reply
            }
            ClaimedAction::ReadClaim if is_control_lost => ClaimedEvent::ControlFailed,
            ClaimedAction::ReadClaim => world.read_claim(),
            ClaimedAction::Send(holder) => {
                assert!(!self.sent.contains(&holder), "an attempt is sent once");
                self.sent.push(holder);
                if fault_seed.is_multiple_of(7) {
                    // The entry treats the connection as silent, but the call may still arrive.
                    self.in_transit = Some(holder);
                    return ClaimedEvent::Failed(holder, AttemptFailure::ConnectionSilent);
                }
                world.deliver(holder, fault_seed)
            }
            ClaimedAction::Query { holder, .. } => world.query(holder, fault_seed),
            _ => ClaimedEvent::DeadlineExceeded,
        }
    }

    fn advance(&mut self, world: &mut World, fault_seed: u8, noise_seed: u8) {
        if let Some(holder) = self.in_transit.take_if(|_| noise_seed.is_multiple_of(3)) {
            world.deliver(holder, fault_seed);
        }
        if noise_seed.is_multiple_of(10) {
            let host = usize::from(noise_seed) % HOSTS as usize;
            world.incarnations[host] += 1;
        }
        // After the final action, a duplicate or late event must be ignored.
        if !self.past_events.is_empty() && noise_seed % 4 == 1 {
            let event = self.past_events[usize::from(noise_seed) % self.past_events.len()];
            let is_about_attempt = matches!(
                event,
                ClaimedEvent::Answered(_) | ClaimedEvent::Failed(..) | ClaimedEvent::WillNotRun(_)
            );
            let is_final = self.action.is_final();
            if is_about_attempt && is_final {
                assert_eq!(self.machine.step(event), ClaimedAction::Ignore);
            }
        }
        if self.action.is_final() {
            return;
        }
        let event = if noise_seed.is_multiple_of(17) {
            ClaimedEvent::DeadlineExceeded
        } else {
            self.perform(world, fault_seed)
        };
        self.past_events.push(event);
        let action = self.machine.step(event);
        assert_ne!(action, ClaimedAction::Ignore, "{event:?}");
        if matches!(action, ClaimedAction::NotRun { .. }) {
            self.check_not_run(world);
        }
        self.action = action;
    }

    /// Checks that no submission under the key ran, because "not run" applies to the key.
    fn check_not_run(&self, world: &World) {
        assert_eq!(world.runs, 0, "a request under the key ran");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    #[test]
    fn a_keyed_request_runs_at_most_once_and_not_run_is_reported_only_if_it_did_not_run(
        steps in proptest::collection::vec((0_usize..3, any::<u8>(), any::<u8>()), 1..120),
    ) {
        let mut world = World::default();
        let mut entries = [Entry::new(), Entry::new(), Entry::new()];
        for (entry, fault_seed, noise_seed) in steps {
            entries[entry].advance(&mut world, fault_seed, noise_seed);
            prop_assert!(world.runs <= 1, "ran {} times", world.runs);
        }
        for entry in &mut entries {
            if let Some(holder) = entry.in_transit.take() {
                world.deliver(holder, 5);
            }
        }
        prop_assert!(world.runs <= 1, "ran {} times after late calls", world.runs);
    }

    /// After the random faults, calls and control succeed, but queries of the holder fail.
    #[test]
    fn a_request_finishes_after_faults_even_if_queries_keep_failing(fault_seeds in proptest::collection::vec(any::<u8>(), 0..20)) {
        let mut world = World::default();
        let mut entry = Entry::new();
        for fault_seed in fault_seeds {
            entry.advance(&mut world, fault_seed, 2);
        }
        for _ in 0..40 {
            entry.advance(&mut world, 5, 2);
        }
        if !entry.action.is_final() {
            let action = entry.machine.step(ClaimedEvent::DeadlineExceeded);
            prop_assert!(action.is_final() || action == ClaimedAction::ReadClaim);
        }
    }
}
