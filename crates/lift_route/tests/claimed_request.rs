//! Guards against a second run of a non-idempotent request and a false "not run", over lost,
//! doubled, late and reordered events, crashed agents, and several entries with one key.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections;

use lift_route::{AttemptEnd, ClaimedAction, ClaimedEvent, ClaimedRequest};
use lift_state::ClaimHolder;
use lift_types::RefusalReason;
use proptest::prelude::*;

const HOSTS: u32 = 3;

/// State of one attempt at its holder.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Attempt {
    Running,
    Ran,
    Never,
    Unknown,
}

/// A model of control, agents and backend server for one key.
#[derive(Debug, Default)]
struct World {
    claim: Option<ClaimHolder>,
    is_recorded: bool,
    seen: collections::BTreeMap<(u32, u64), (u32, Attempt)>,
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
        ClaimedEvent::Held(holder)
    }

    fn look(&self) -> ClaimedEvent {
        match (self.is_recorded, self.claim) {
            (true, _) => ClaimedEvent::Recorded,
            (false, Some(holder)) => ClaimedEvent::Pending(holder),
            (false, None) => ClaimedEvent::Absent,
        }
    }

    fn reassign(&mut self, refused: ClaimHolder, host: u32, incarnation: u64) -> ClaimedEvent {
        if self.is_recorded || self.claim != Some(refused) {
            return self.look();
        }
        let holder = ClaimHolder {
            host,
            incarnation,
            attempt: refused.attempt + 1,
        };
        self.claim = Some(holder);
        ClaimedEvent::Held(holder)
    }

    /// Delivers a call to its holder, by the rules of `lift_serve`.
    fn deliver(&mut self, holder: ClaimHolder, fate: u8) -> ClaimedEvent {
        let refused = AttemptEnd::Refused(RefusalReason::Switching);
        let lost = ClaimedEvent::Ended(holder, AttemptEnd::ConnectionLost);
        if self.incarnations[holder.host as usize] != holder.incarnation {
            return ClaimedEvent::Ended(holder, refused);
        }
        let key = (holder.host, holder.incarnation);
        match self.seen.get(&key) {
            Some((_, state)) if *state != Attempt::Never => return lost,
            Some((attempt, _)) if holder.attempt <= *attempt => {
                return ClaimedEvent::Ended(holder, refused);
            }
            _ => {}
        }
        let mut enter = |state| self.seen.insert(key, (holder.attempt, state));
        match fate % 6 {
            0 => {
                enter(Attempt::Never);
                ClaimedEvent::Ended(holder, refused)
            }
            1 => ClaimedEvent::Ended(holder, AttemptEnd::NotSent),
            2 => lost,
            3 => {
                enter(Attempt::Running);
                self.runs += 1;
                lost
            }
            4 => {
                enter(Attempt::Unknown);
                self.runs += 1;
                ClaimedEvent::Ended(holder, AttemptEnd::Damaged)
            }
            _ => {
                enter(Attempt::Ran);
                self.runs += 1;
                ClaimedEvent::Answered(holder)
            }
        }
    }

    fn query(&mut self, holder: ClaimHolder, fate: u8) -> ClaimedEvent {
        if fate.is_multiple_of(5) {
            return ClaimedEvent::QueryFailed(holder);
        }
        if self.incarnations[holder.host as usize] != holder.incarnation {
            return ClaimedEvent::Unknown(holder);
        }
        let key = (holder.host, holder.incarnation);
        let seen = self.seen.entry(key).or_insert((0, Attempt::Never));
        if seen.1 == Attempt::Never {
            seen.0 = seen.0.max(holder.attempt);
        }
        match seen.1 {
            Attempt::Never => ClaimedEvent::Never(holder),
            Attempt::Ran => ClaimedEvent::Ran(holder),
            Attempt::Unknown => ClaimedEvent::Unknown(holder),
            Attempt::Running => {
                if fate.is_multiple_of(2) {
                    seen.1 = Attempt::Ran;
                    self.is_recorded = fate.is_multiple_of(4) && self.claim == Some(holder);
                }
                ClaimedEvent::Running(holder)
            }
        }
    }
}

/// One sending through one entry, with messages that may still be under way.
struct Entry {
    machine: ClaimedRequest,
    action: ClaimedAction,
    past: Vec<ClaimedEvent>,
    /// A call that was sent and has not arrived yet.
    under_way: Option<ClaimHolder>,
    sent: Vec<ClaimHolder>,
}

impl Entry {
    fn new() -> Self {
        Self {
            machine: ClaimedRequest::new(),
            action: ClaimedAction::Choose,
            past: Vec::new(),
            under_way: None,
            sent: Vec::new(),
        }
    }

    fn perform(&mut self, world: &mut World, fate: u8) -> ClaimedEvent {
        let is_control_lost = fate.is_multiple_of(11);
        match self.action {
            ClaimedAction::Choose if fate.is_multiple_of(13) => ClaimedEvent::NoHost,
            ClaimedAction::Choose => {
                let host = u32::from(fate) % HOSTS;
                let incarnation = world.incarnations[host as usize];
                ClaimedEvent::Chosen { host, incarnation }
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
            ClaimedAction::Look if is_control_lost => ClaimedEvent::ControlFailed,
            ClaimedAction::Look => world.look(),
            ClaimedAction::Send(holder) => {
                assert!(!self.sent.contains(&holder), "an attempt is sent once");
                self.sent.push(holder);
                if fate.is_multiple_of(7) {
                    // The connection broke for the entry; the call may still arrive.
                    self.under_way = Some(holder);
                    return ClaimedEvent::Ended(holder, AttemptEnd::ConnectionSilent);
                }
                world.deliver(holder, fate)
            }
            ClaimedAction::Query { holder, .. } => world.query(holder, fate),
            _ => ClaimedEvent::Deadline,
        }
    }

    fn advance(&mut self, world: &mut World, fate: u8, noise: u8) {
        if let Some(holder) = self.under_way.take_if(|_| noise.is_multiple_of(3)) {
            world.deliver(holder, fate);
        }
        if noise.is_multiple_of(10) {
            let host = usize::from(noise) % HOSTS as usize;
            world.incarnations[host] += 1;
        }
        // A doubled or late event must change nothing.
        if !self.past.is_empty() && noise % 4 == 1 {
            let event = self.past[usize::from(noise) % self.past.len()];
            let is_about_attempt = matches!(
                event,
                ClaimedEvent::Answered(_) | ClaimedEvent::Ended(..) | ClaimedEvent::Never(_)
            );
            let is_final = self.action.is_final();
            if is_about_attempt && is_final {
                assert_eq!(self.machine.step(event), ClaimedAction::Ignore);
            }
        }
        if self.action.is_final() {
            return;
        }
        let event = if noise.is_multiple_of(17) {
            ClaimedEvent::Deadline
        } else {
            self.perform(world, fate)
        };
        self.past.push(event);
        let action = self.machine.step(event);
        assert_ne!(action, ClaimedAction::Ignore, "{event:?}");
        if matches!(action, ClaimedAction::NotRun { .. }) {
            self.check_not_run(world);
        }
        self.action = action;
    }

    /// "Not run" speaks for the key, whichever sending it was run by.
    fn check_not_run(&self, world: &World) {
        assert_eq!(world.runs, 0, "the key ran");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    #[test]
    fn a_key_never_runs_twice_and_not_run_is_true(
        steps in proptest::collection::vec((0_usize..3, any::<u8>(), any::<u8>()), 1..120),
    ) {
        let mut world = World::default();
        let mut entries = [Entry::new(), Entry::new(), Entry::new()];
        for (entry, fate, noise) in steps {
            entries[entry].advance(&mut world, fate, noise);
            prop_assert!(world.runs <= 1, "ran {} times", world.runs);
        }
        for entry in &mut entries {
            if let Some(holder) = entry.under_way.take() {
                world.deliver(holder, 5);
            }
        }
        prop_assert!(world.runs <= 1, "ran {} times after late calls", world.runs);
    }

    #[test]
    fn without_further_faults_a_request_ends(fates in proptest::collection::vec(any::<u8>(), 0..20)) {
        let mut world = World::default();
        let mut entry = Entry::new();
        for fate in fates {
            entry.advance(&mut world, fate, 2);
        }
        for _ in 0..40 {
            entry.advance(&mut world, 5, 2);
        }
        if !entry.action.is_final() {
            let action = entry.machine.step(ClaimedEvent::Deadline);
            prop_assert!(action.is_final() || action == ClaimedAction::Look);
        }
    }
}
