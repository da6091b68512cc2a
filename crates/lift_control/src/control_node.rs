//! The control role.

use std::{sync, time};

use tokio::sync::watch;

use crate::{control_machine, control_node_builder, proposals, tenure};

pub(crate) type Failure = error_stack::Report<lift_rpc::ControlError>;

/// Interval at which a leader renews the confirmation of its own view.
const VIEW_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// A control member. It implements [`lift_rpc::ControlPort`] on the replicated log: the
/// leader carries operations out, a follower names the leader.
#[derive(Debug)]
pub struct ControlNode {
    pub(crate) machine: sync::Arc<control_machine::ControlMachine>,
    pub(crate) log: sync::Arc<dyn lift_log::ReplicatedLog>,
    proposals: proposals::Proposals,
    leadership: watch::Receiver<lift_log::Leadership>,
    lease: time::Duration,
    tenure: lift_shard::Shards<Option<sync::Arc<tenure::Tenure>>>,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    stop: tokio_util::sync::CancellationToken,
}

impl ControlNode {
    /// Collects the settings of a control member.
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
            proposals: proposals::Proposals::start(sync::Arc::clone(&log)),
            log,
            lease,
            tenure: lift_shard::Shards::new(1, |_| None),
            counters,
            stop: tokio_util::sync::CancellationToken::new(),
        });
        let stop = node.stop.clone();
        let weak = sync::Arc::downgrade(&node);
        let leadership = node.leadership.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = follow_leadership(weak, leadership, logger) => {}
            }
        });
        node
    }

    /// The state of this member.
    pub fn machine(&self) -> &sync::Arc<control_machine::ControlMachine> {
        &self.machine
    }

    /// Returns `now` while this member leads and holds its lease; an answer that was
    /// prepared before then is current.
    pub(crate) fn check_leading(&self) -> Result<time::Instant, Failure> {
        self.term().map(|(now, _, _)| now)
    }

    /// What the leader knows in its term.
    pub(crate) fn tenure(&self) -> Result<(time::Instant, sync::Arc<tenure::Tenure>), Failure> {
        let (now, term, since) = self.term()?;
        let state = self.machine.state();
        let tenure = self.tenure.with_position(0, |slot| match slot {
            Some(tenure) if tenure.term == term => sync::Arc::clone(tenure),
            _ => {
                let tenure = tenure::Tenure::new(term, since, self.lease, state);
                sync::Arc::clone(slot.insert(sync::Arc::new(tenure)))
            }
        });
        Ok((now, tenure))
    }

    /// Commits a command.
    pub(crate) async fn propose(
        &self,
        command: lift_state::Command,
    ) -> Result<lift_state::CommandReply, Failure> {
        if !self.leads() {
            return Err(self.not_leader());
        }
        let error = match self.proposals.propose(&command).await {
            Ok(lift_state::CommandReply::Invalid { path, problem }) => {
                let error = lift_rpc::ControlError::Invalid { path, problem };
                return Err(error_stack::Report::new(error));
            }
            Ok(reply) => return Ok(reply),
            Err(error) => error,
        };
        let name = match error {
            lift_log::ProposeError::NotLeader => return Err(self.not_leader()),
            lift_log::ProposeError::Busy => lift_rpc::ControlError::Unavailable,
            lift_log::ProposeError::TooLong { .. } => lift_rpc::ControlError::Invalid {
                path: String::from("operation"),
                problem: error.to_string(),
            },
            lift_log::ProposeError::Unknown | lift_log::ProposeError::Stopped => {
                lift_rpc::ControlError::Unknown
            }
        };
        self.counters.increment("control.propose_failed");
        Err(error_stack::Report::new(error).change_context(name))
    }

    fn leads(&self) -> bool {
        matches!(
            *self.leadership.borrow(),
            lift_log::Leadership::Leader { .. }
        )
    }

    fn term(&self) -> Result<(time::Instant, lift_types::Term, time::Instant), Failure> {
        let now = lift_clock::now();
        let leadership = self.leadership.borrow().clone();
        match leadership {
            lift_log::Leadership::Leader {
                term,
                since,
                lease_until,
            } if now < lease_until && self.machine.unreadable() == 0 => Ok((now, term, since)),
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
        self.stop.cancel();
    }
}

/// Begins each term of this member, and keeps its own view confirmed while it leads.
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
        if let Ok((now, tenure)) = node.tenure() {
            node.machine.confirm(now);
            if tenure.term != term {
                term = tenure.term;
                slog::info!(logger, "control member leads"; "term" => term);
            }
        }
        drop(node);
        tokio::select! {
            () = tokio::time::sleep(VIEW_INTERVAL) => {}
            changed = leadership.changed() => if changed.is_err() { return },
        }
    }
}
