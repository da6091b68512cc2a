//! State machine of one non-idempotent request.

use crate::{attempt_end, claimed_action, claimed_event};

/// Attempts of one request at one entry. Each one needs a commit by control.
const MAX_ATTEMPTS: u32 = 4;

/// Failed queries, in a row, after which the request is in doubt.
const MAX_FAILED_QUERIES: u32 = 4;

/// One sending of a non-idempotent request through one entry.
///
/// It sends an attempt only after control gave it the claim in person, so that two entries
/// never send the same attempt. It says "not run" only where control confirms that there is
/// no claim under the key, or that the claim is still with a holder that has proved that its
/// attempt did not run: another sending under the key may have run. See
/// `docs/decisions/outcomes.md`.
#[derive(Clone, Debug)]
pub struct ClaimedRequest {
    state: State,
    attempts: u32,
    failed_queries: u32,
    queries: u32,
    reason: lift_types::RefusalReason,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No claim exists as far as this request knows.
    Choosing,
    /// A claim was asked for. Nothing was sent.
    Claiming,
    /// Nothing was sent and nothing will be. Control is asked whether the key is unclaimed.
    Unclaimed,
    /// The request was sent to the holder.
    Sent(lift_state::ClaimHolder),
    /// The holder is asked.
    Querying(lift_state::ClaimHolder),
    /// Control is asked because the holder did not answer.
    Looking(lift_state::ClaimHolder),
    /// The holder has proved that its attempt did not run; another host is chosen.
    Refused(lift_state::ClaimHolder),
    /// Control is asked to move the claim.
    Reassigning(lift_state::ClaimHolder),
    /// Control is asked whether the claim is still with the refused holder.
    Confirming(lift_state::ClaimHolder),
    /// The caller has its answer.
    Done,
}

use claimed_action::ClaimedAction as Action;
use claimed_event::ClaimedEvent as Event;

impl ClaimedRequest {
    /// Starts before the choice of a host; [`claimed_action::ClaimedAction::Choose`] comes
    /// first.
    pub fn new() -> Self {
        Self {
            state: State::Choosing,
            attempts: 0,
            failed_queries: 0,
            queries: 0,
            reason: lift_types::RefusalReason::NoHost,
        }
    }

    /// Starts a sending that the entry refuses before the choice of a host;
    /// [`claimed_action::ClaimedAction::Look`] comes first.
    pub fn refusing(reason: lift_types::RefusalReason) -> Self {
        Self {
            state: State::Unclaimed,
            reason,
            ..Self::new()
        }
    }

    /// Takes an event into account and says what to do.
    pub fn step(&mut self, event: Event) -> Action {
        match (self.state, event) {
            (State::Done, _) => Action::Ignore,
            (state, Event::Deadline) => self.deadline(state),
            (State::Choosing, Event::Chosen { host, incarnation }) => {
                self.enter(State::Claiming, Action::Claim { host, incarnation })
            }
            (State::Choosing, Event::NoHost) => self.unclaimed(lift_types::RefusalReason::NoHost),
            (State::Unclaimed, event) => self.looked_unclaimed(event),
            (State::Claiming, event) => self.claimed(event),
            (State::Reassigning(refused), event) => self.reassigned(refused, event),
            (State::Confirming(refused), event) => self.confirmed(refused, event),
            (State::Looking(holder), event) => self.looked(holder, event),
            (State::Refused(refused), Event::Chosen { host, incarnation }) => {
                let action = Action::Reassign {
                    refused,
                    host,
                    incarnation,
                };
                self.enter(State::Reassigning(refused), action)
            }
            (State::Refused(refused), Event::NoHost) => {
                self.enter(State::Confirming(refused), Action::Look)
            }
            (State::Sent(holder), event) => self.sent(holder, event),
            (State::Querying(holder), event) => self.queried(holder, event),
            _ => Action::Ignore,
        }
    }

    fn claimed(&mut self, event: Event) -> Action {
        match event {
            Event::Held(holder) => self.send(holder),
            Event::Pending(holder) => self.query(holder),
            Event::Recorded => self.enter(State::Done, Action::GiveOutcome),
            Event::Mismatch => self.not_run(lift_types::RefusalReason::KeyReused),
            // A full table refuses new keys only, so the key is unclaimed.
            Event::Full => self.not_run(lift_types::RefusalReason::ClaimUnavailable),
            Event::ControlFailed => self.unclaimed(lift_types::RefusalReason::ClaimUnavailable),
            _ => Action::Ignore,
        }
    }

    /// A claim that exists was made for a body that is not compared here, so its outcome is
    /// not given.
    fn looked_unclaimed(&mut self, event: Event) -> Action {
        match event {
            Event::Absent => self.not_run(self.reason),
            Event::Pending(_) | Event::Recorded | Event::ControlFailed => self.in_doubt(),
            _ => Action::Ignore,
        }
    }

    fn reassigned(&mut self, refused: lift_state::ClaimHolder, event: Event) -> Action {
        match event {
            Event::Held(holder) => self.send(holder),
            Event::Pending(holder) if holder == refused => {
                self.enter(State::Confirming(refused), Action::Look)
            }
            Event::Pending(holder) => self.query(holder),
            Event::Recorded => self.enter(State::Done, Action::GiveOutcome),
            // The claim may have moved, so the refused holder's proof may be outdated.
            Event::ControlFailed | Event::Absent | Event::Full | Event::Mismatch => {
                self.enter(State::Confirming(refused), Action::Look)
            }
            _ => Action::Ignore,
        }
    }

    fn confirmed(&mut self, refused: lift_state::ClaimHolder, event: Event) -> Action {
        match event {
            Event::Pending(holder) if holder == refused => self.not_run(self.reason),
            Event::Pending(holder) => self.query(holder),
            Event::Recorded => self.enter(State::Done, Action::GiveOutcome),
            Event::Absent | Event::ControlFailed => self.in_doubt(),
            _ => Action::Ignore,
        }
    }

    fn looked(&mut self, holder: lift_state::ClaimHolder, event: Event) -> Action {
        match event {
            Event::Recorded => self.enter(State::Done, Action::GiveOutcome),
            Event::Pending(found) if found != holder => {
                self.failed_queries = 0;
                self.query(found)
            }
            Event::Pending(_) | Event::ControlFailed
                if self.failed_queries < MAX_FAILED_QUERIES =>
            {
                self.query(holder)
            }
            Event::Pending(_) | Event::ControlFailed | Event::Absent => self.in_doubt(),
            _ => Action::Ignore,
        }
    }

    fn sent(&mut self, holder: lift_state::ClaimHolder, event: Event) -> Action {
        match event {
            Event::Answered(by) if by == holder => self.enter(State::Done, Action::GiveAnswer),
            Event::Ended(by, end) if by == holder => self.ended(holder, end),
            _ => Action::Ignore,
        }
    }

    fn ended(&mut self, holder: lift_state::ClaimHolder, end: attempt_end::AttemptEnd) -> Action {
        self.reason = end.refusal_reason();
        if end.proves_not_run() {
            return self.refused(holder);
        }
        self.query(holder)
    }

    fn queried(&mut self, holder: lift_state::ClaimHolder, event: Event) -> Action {
        match event {
            Event::Ran(by) if by == holder => self.enter(State::Done, Action::GiveOutcome),
            Event::Running(by) if by == holder => {
                self.failed_queries = 0;
                self.query(holder)
            }
            Event::Never(by) if by == holder => self.refused(holder),
            Event::Unknown(by) if by == holder => {
                self.failed_queries = MAX_FAILED_QUERIES;
                self.enter(State::Looking(holder), Action::Look)
            }
            Event::QueryFailed(by) if by == holder => {
                self.failed_queries += 1;
                self.enter(State::Looking(holder), Action::Look)
            }
            _ => Action::Ignore,
        }
    }

    fn refused(&mut self, holder: lift_state::ClaimHolder) -> Action {
        if self.attempts >= MAX_ATTEMPTS {
            return self.enter(State::Confirming(holder), Action::Look);
        }
        self.enter(State::Refused(holder), Action::Choose)
    }

    fn send(&mut self, holder: lift_state::ClaimHolder) -> Action {
        self.attempts += 1;
        self.enter(State::Sent(holder), Action::Send(holder))
    }

    fn query(&mut self, holder: lift_state::ClaimHolder) -> Action {
        let earlier = self.queries;
        self.queries += 1;
        self.enter(State::Querying(holder), Action::Query { holder, earlier })
    }

    fn deadline(&mut self, state: State) -> Action {
        self.reason = lift_types::RefusalReason::DeadlineUnmet;
        match state {
            State::Choosing | State::Claiming => self.unclaimed(self.reason),
            State::Refused(refused) => self.enter(State::Confirming(refused), Action::Look),
            _ => self.in_doubt(),
        }
    }

    fn unclaimed(&mut self, reason: lift_types::RefusalReason) -> Action {
        self.reason = reason;
        self.enter(State::Unclaimed, Action::Look)
    }

    fn not_run(&mut self, reason: lift_types::RefusalReason) -> Action {
        self.enter(State::Done, Action::NotRun { reason })
    }

    fn in_doubt(&mut self) -> Action {
        let reason = self.reason;
        self.enter(State::Done, Action::InDoubt { reason })
    }

    fn enter(&mut self, state: State, action: Action) -> Action {
        self.state = state;
        action
    }
}

impl Default for ClaimedRequest {
    fn default() -> Self {
        Self::new()
    }
}
