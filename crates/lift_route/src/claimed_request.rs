//! State machine of one non-idempotent request.

use crate::{attempt_failure, claimed_action, claimed_event};

/// Maximum number of attempts of one submission. Each one needs a commit by control.
const MAX_ATTEMPTS: u32 = 4;

/// Failed queries after which the request is in doubt. The count restarts if the attempt is
/// running, or if control reports another holder after a failed query.
const MAX_FAILED_QUERIES: u32 = 4;

/// State machine of one submission of a non-idempotent request through one entry.
///
/// An attempt is sent only after control has granted the claim to this submission itself, so
/// that two entries never send the same attempt.
///
/// Another submission under the key may have run. "Not run" is therefore reported only if
/// control confirms that there is no claim under the key, that the claim is still with a holder
/// whose attempt provably did not run, or that the key was used with another method, path or
/// body. See `docs/decisions/outcomes.md`.
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
    /// A host is being selected. This submission has not asked for a claim.
    SelectingHost,
    /// Control was asked to grant the claim. Nothing was sent.
    Claiming,
    /// Nothing was sent and nothing will be. Control was asked whether the key is unclaimed.
    ConfirmingUnclaimed,
    /// The request was sent to the holder.
    Sent(lift_state::ClaimHolder),
    /// The holder was queried for the state of its attempt.
    Querying(lift_state::ClaimHolder),
    /// The claim is being read from control because the query failed or the holder did not know
    /// whether its attempt ran.
    ReadingClaim(lift_state::ClaimHolder),
    /// The holder's attempt provably did not run. A host for the next attempt is being selected.
    SelectingNextHost(lift_state::ClaimHolder),
    /// Control was asked to move the claim from this holder, whose attempt provably did not run.
    Reassigning(lift_state::ClaimHolder),
    /// Control was asked whether the claim is still with this holder, whose attempt provably did
    /// not run.
    ConfirmingHolder(lift_state::ClaimHolder),
    /// A final action was returned.
    Done,
}

use claimed_action::ClaimedAction as Action;
use claimed_event::ClaimedEvent as Event;

impl ClaimedRequest {
    /// Creates a submission, whose first action is
    /// [`claimed_action::ClaimedAction::SelectHost`].
    pub fn new() -> Self {
        Self {
            state: State::SelectingHost,
            attempts: 0,
            failed_queries: 0,
            queries: 0,
            reason: lift_types::RefusalReason::NoHost,
        }
    }

    /// Creates a submission that the entry refuses with `reason` before a host is selected. Its
    /// first action is [`claimed_action::ClaimedAction::ReadClaim`].
    pub fn new_refused(reason: lift_types::RefusalReason) -> Self {
        Self {
            state: State::ConfirmingUnclaimed,
            reason,
            ..Self::new()
        }
    }

    /// Applies an event and returns the action to perform next.
    pub fn step(&mut self, event: Event) -> Action {
        match (self.state, event) {
            (State::Done, _) => Action::Ignore,
            (state, Event::DeadlineExceeded) => self.on_deadline(state),
            (State::SelectingHost, Event::HostSelected { host, incarnation }) => {
                self.transition(State::Claiming, Action::Claim { host, incarnation })
            }
            (State::SelectingHost, Event::NoHost) => {
                self.confirm_unclaimed(lift_types::RefusalReason::NoHost)
            }
            (State::ConfirmingUnclaimed, event) => self.on_unclaimed_check(event),
            (State::Claiming, event) => self.on_claim_reply(event),
            (State::Reassigning(refused), event) => self.on_reassign_reply(refused, event),
            (State::ConfirmingHolder(refused), event) => self.on_holder_check(refused, event),
            (State::ReadingClaim(holder), event) => self.on_claim_read(holder, event),
            (State::SelectingNextHost(refused), Event::HostSelected { host, incarnation }) => {
                let action = Action::Reassign {
                    refused,
                    host,
                    incarnation,
                };
                self.transition(State::Reassigning(refused), action)
            }
            (State::SelectingNextHost(refused), Event::NoHost) => {
                self.transition(State::ConfirmingHolder(refused), Action::ReadClaim)
            }
            (State::Sent(holder), event) => self.on_attempt_event(holder, event),
            (State::Querying(holder), event) => self.on_query_reply(holder, event),
            _ => Action::Ignore,
        }
    }

    fn on_claim_reply(&mut self, event: Event) -> Action {
        match event {
            Event::Granted(holder) => self.send(holder),
            Event::Pending(holder) => self.query(holder),
            Event::Recorded => self.transition(State::Done, Action::ReturnOutcome),
            Event::Mismatch => self.finish_not_run(lift_types::RefusalReason::KeyReused),
            // A full table rejects only new keys, so the key is unclaimed.
            Event::Full => self.finish_not_run(lift_types::RefusalReason::ClaimUnavailable),
            Event::ControlFailed => {
                self.confirm_unclaimed(lift_types::RefusalReason::ClaimUnavailable)
            }
            _ => Action::Ignore,
        }
    }

    /// Handles the reply of control to the question whether the key is unclaimed. The outcome of
    /// an existing claim is not returned, because it may belong to another body: reading a claim
    /// does not compare the bodies.
    fn on_unclaimed_check(&mut self, event: Event) -> Action {
        match event {
            Event::Absent => self.finish_not_run(self.reason),
            Event::Pending(_) | Event::Recorded | Event::ControlFailed => self.finish_in_doubt(),
            _ => Action::Ignore,
        }
    }

    fn on_reassign_reply(&mut self, refused: lift_state::ClaimHolder, event: Event) -> Action {
        match event {
            Event::Granted(holder) => self.send(holder),
            Event::Pending(holder) if holder == refused => {
                self.transition(State::ConfirmingHolder(refused), Action::ReadClaim)
            }
            Event::Pending(holder) => self.query(holder),
            Event::Recorded => self.transition(State::Done, Action::ReturnOutcome),
            // The claim may have moved to another holder, whose attempt may have run.
            Event::ControlFailed | Event::Absent | Event::Full | Event::Mismatch => {
                self.transition(State::ConfirmingHolder(refused), Action::ReadClaim)
            }
            _ => Action::Ignore,
        }
    }

    fn on_holder_check(&mut self, refused: lift_state::ClaimHolder, event: Event) -> Action {
        match event {
            Event::Pending(holder) if holder == refused => self.finish_not_run(self.reason),
            Event::Pending(holder) => self.query(holder),
            Event::Recorded => self.transition(State::Done, Action::ReturnOutcome),
            Event::Absent | Event::ControlFailed => self.finish_in_doubt(),
            _ => Action::Ignore,
        }
    }

    fn on_claim_read(&mut self, holder: lift_state::ClaimHolder, event: Event) -> Action {
        match event {
            Event::Recorded => self.transition(State::Done, Action::ReturnOutcome),
            Event::Pending(found) if found != holder => {
                self.failed_queries = 0;
                self.query(found)
            }
            Event::Pending(_) | Event::ControlFailed
                if self.failed_queries < MAX_FAILED_QUERIES =>
            {
                self.query(holder)
            }
            Event::Pending(_) | Event::ControlFailed | Event::Absent => self.finish_in_doubt(),
            _ => Action::Ignore,
        }
    }

    fn on_attempt_event(&mut self, holder: lift_state::ClaimHolder, event: Event) -> Action {
        match event {
            Event::Answered(by) if by == holder => {
                self.transition(State::Done, Action::ReturnAnswer)
            }
            Event::Failed(by, failure) if by == holder => self.on_attempt_failure(holder, failure),
            _ => Action::Ignore,
        }
    }

    fn on_attempt_failure(
        &mut self,
        holder: lift_state::ClaimHolder,
        failure: attempt_failure::AttemptFailure,
    ) -> Action {
        self.reason = failure.refusal_reason();
        if failure.proves_not_run() {
            return self.on_not_run_proof(holder);
        }
        self.query(holder)
    }

    fn on_query_reply(&mut self, holder: lift_state::ClaimHolder, event: Event) -> Action {
        match event {
            Event::Ran(by) if by == holder => self.transition(State::Done, Action::ReturnOutcome),
            Event::Running(by) if by == holder => {
                self.failed_queries = 0;
                self.query(holder)
            }
            Event::WillNotRun(by) if by == holder => self.on_not_run_proof(holder),
            Event::Unknown(by) if by == holder => {
                self.failed_queries = MAX_FAILED_QUERIES;
                self.transition(State::ReadingClaim(holder), Action::ReadClaim)
            }
            Event::QueryFailed(by) if by == holder => {
                self.failed_queries += 1;
                self.transition(State::ReadingClaim(holder), Action::ReadClaim)
            }
            _ => Action::Ignore,
        }
    }

    fn on_not_run_proof(&mut self, holder: lift_state::ClaimHolder) -> Action {
        if self.attempts >= MAX_ATTEMPTS {
            return self.transition(State::ConfirmingHolder(holder), Action::ReadClaim);
        }
        self.transition(State::SelectingNextHost(holder), Action::SelectHost)
    }

    fn send(&mut self, holder: lift_state::ClaimHolder) -> Action {
        self.attempts += 1;
        self.transition(State::Sent(holder), Action::Send(holder))
    }

    fn query(&mut self, holder: lift_state::ClaimHolder) -> Action {
        let previous_queries = self.queries;
        self.queries += 1;
        self.transition(
            State::Querying(holder),
            Action::Query {
                holder,
                previous_queries,
            },
        )
    }

    fn on_deadline(&mut self, state: State) -> Action {
        self.reason = lift_types::RefusalReason::DeadlineUnmet;
        match state {
            State::SelectingHost | State::Claiming => self.confirm_unclaimed(self.reason),
            State::SelectingNextHost(refused) => {
                self.transition(State::ConfirmingHolder(refused), Action::ReadClaim)
            }
            _ => self.finish_in_doubt(),
        }
    }

    fn confirm_unclaimed(&mut self, reason: lift_types::RefusalReason) -> Action {
        self.reason = reason;
        self.transition(State::ConfirmingUnclaimed, Action::ReadClaim)
    }

    fn finish_not_run(&mut self, reason: lift_types::RefusalReason) -> Action {
        self.transition(State::Done, Action::NotRun { reason })
    }

    fn finish_in_doubt(&mut self) -> Action {
        let reason = self.reason;
        self.transition(State::Done, Action::InDoubt { reason })
    }

    fn transition(&mut self, state: State, action: Action) -> Action {
        self.state = state;
        action
    }
}

impl Default for ClaimedRequest {
    fn default() -> Self {
        Self::new()
    }
}
