//! A control member.

use std::{sync, time};

use tokio::sync::watch;

use crate::{control_machine, control_node_builder, leader_term, proposal_batcher};

pub(crate) type Failure = error_stack::Report<lift_rpc::ControlError>;

/// Interval at which a leader confirms its own view of the policy.
const CONFIRM_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// A control member. It implements [`lift_rpc::ControlPort`] on the replicated log. The leader
/// carries out operations; a follower rejects them and returns the address of the leader, if it
/// is known.
#[derive(Debug)]
pub struct ControlNode {
    pub(crate) machine: sync::Arc<control_machine::ControlMachine>,
    pub(crate) log: sync::Arc<dyn lift_log::ReplicatedLog>,
    batcher: proposal_batcher::ProposalBatcher,
    leadership: watch::Receiver<lift_log::Leadership>,
    lease: time::Duration,
    leader_term: lift_shard::Shards<Option<sync::Arc<leader_term::LeaderTerm>>>,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    stopped: tokio_util::sync::CancellationToken,
}

impl ControlNode {
    /// Returns a builder with default settings.
    pub fn builder() -> control_node_builder::ControlNodeBuilder {
        control_node_builder::ControlNodeBuilder::new()
    }

    pub(crate) fn start(
        log: sync::Arc<dyn lift_log::ReplicatedLog>,
        machine: sync::Arc<control_machine::ControlMachine>,
        lease: time::Duration,
        logger: slog::Logger,
        counters: sync::Arc<lift_obs::Counters>,
    ) -> sync::Arc<Self> {
        let node = sync::Arc::new(Self {
            machine,
            leadership: log.leadership(),
            batcher: proposal_batcher::ProposalBatcher::start(sync::Arc::clone(&log)),
            log,
            lease,
            leader_term: lift_shard::Shards::new(1, |_| None),
            counters,
            stopped: tokio_util::sync::CancellationToken::new(),
        });
        let stopped = node.stopped.clone();
        let weak = sync::Arc::downgrade(&node);
        let leadership = node.leadership.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = follow_leadership(weak, leadership, logger) => {}
            }
        });
        node
    }

    /// Returns the state machine of this member.
    pub fn machine(&self) -> &sync::Arc<control_machine::ControlMachine> {
        &self.machine
    }

    /// Returns the current time if this member leads, its leader lease is valid and it has decoded
    /// all log entries. Data that was read before the call is then current.
    pub(crate) fn check_leading(&self) -> Result<time::Instant, Failure> {
        self.check_lease().map(|(now, _, _)| now)
    }

    /// Returns the current time and the state of the leader's term, which is created on first use.
    /// Fails in the same cases as [`Self::check_leading`].
    pub(crate) fn leader_term(
        &self,
    ) -> Result<(time::Instant, sync::Arc<leader_term::LeaderTerm>), Failure> {
        let (now, term, since) = self.check_lease()?;
        let state = self.machine.state();
        let leader_term = self.leader_term.with_position(0, |slot| match slot {
            Some(leader_term) if leader_term.term == term => sync::Arc::clone(leader_term),
            _ => {
                let leader_term = leader_term::LeaderTerm::new(term, since, self.lease, state);
                sync::Arc::clone(slot.insert(sync::Arc::new(leader_term)))
            }
        });
        Ok((now, leader_term))
    }

    /// Proposes a command and returns its reply once it is committed and applied.
    pub(crate) async fn propose(
        &self,
        command: lift_state::Command,
    ) -> Result<lift_state::CommandReply, Failure> {
        if !self.is_leader() {
            return Err(self.not_leader());
        }
        let propose_error = match self.batcher.propose(&command).await {
            Ok(lift_state::CommandReply::Invalid { path, problem }) => {
                let error = lift_rpc::ControlError::Invalid { path, problem };
                return Err(error_stack::Report::new(error));
            }
            Ok(reply) => return Ok(reply),
            Err(error) => error,
        };
        let control_error = match propose_error {
            lift_log::ProposeError::NotLeader => return Err(self.not_leader()),
            lift_log::ProposeError::Busy => lift_rpc::ControlError::Unavailable,
            lift_log::ProposeError::TooLong { .. } => lift_rpc::ControlError::Invalid {
                path: String::from("operation"),
                problem: propose_error.to_string(),
            },
            lift_log::ProposeError::Unknown | lift_log::ProposeError::Stopped => {
                lift_rpc::ControlError::Unknown
            }
        };
        self.counters.increment("control.propose_failed");
        Err(error_stack::Report::new(propose_error).change_context(control_error))
    }

    fn is_leader(&self) -> bool {
        matches!(
            *self.leadership.borrow(),
            lift_log::Leadership::Leader { .. }
        )
    }

    fn check_lease(&self) -> Result<(time::Instant, lift_types::Term, time::Instant), Failure> {
        let now = lift_clock::now();
        let leadership = self.leadership.borrow().clone();
        match leadership {
            lift_log::Leadership::Leader {
                term,
                since,
                lease_until,
            } if now < lease_until && self.machine.unreadable_entries() == 0 => {
                Ok((now, term, since))
            }
            _ => Err(self.not_leader()),
        }
    }

    fn not_leader(&self) -> Failure {
        let leader = match *self.leadership.borrow() {
            lift_log::Leadership::Follower {
                leader: Some((_, address)),
            } => Some(address),
            _ => None,
        };
        error_stack::Report::new(lift_rpc::ControlError::NotLeader { leader })
    }
}

impl Drop for ControlNode {
    fn drop(&mut self) {
        self.stopped.cancel();
    }
}

/// Creates the leader state of each term in which this member leads, and regularly confirms the
/// member's own view of the policy while it leads.
async fn follow_leadership(
    node: sync::Weak<ControlNode>,
    mut leadership: watch::Receiver<lift_log::Leadership>,
    logger: slog::Logger,
) {
    let mut term = 0;
    loop {
        let Some(node) = node.upgrade() else {
            return;
        };
        if let Ok((now, leader_term)) = node.leader_term() {
            node.machine.confirm(now);
            if leader_term.term != term {
                term = leader_term.term;
                slog::info!(logger, "control member leads"; "term" => term);
            }
        }
        drop(node);
        tokio::select! {
            () = tokio::time::sleep(CONFIRM_INTERVAL) => {}
            changed = leadership.changed() => if changed.is_err() { return },
        }
    }
}
