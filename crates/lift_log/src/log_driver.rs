//! One member of the replicated log.

use std::{sync, thread, time};

use tokio::sync::{oneshot, watch};

use crate::{
    change_error, leadership, log_driver_builder, log_end, log_status, node, proposal,
    propose_error, replicated_log,
};

/// Time within which a command must be committed and applied.
const PROPOSE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Commands that may wait to be committed.
const MAX_WAITING: usize = 65_536;

/// Time in which a stopping leader hands over the lead.
const TRANSFER_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Runs one member on its disk and connections. Dropping it stops the member at once, as a
/// crash would; [`replicated_log::ReplicatedLog::stop`] hands over the lead first.
#[derive(Debug)]
pub struct LogDriver {
    pub(crate) node: sync::Arc<node::Node>,
    pub(crate) threads: parking_lot::Mutex<Vec<thread::JoinHandle<()>>>,
    pub(crate) tasks: tokio_util::task::TaskTracker,
    waiting: tokio::sync::Semaphore,
}

impl LogDriver {
    /// Starts with the settings that have defaults.
    pub fn builder() -> log_driver_builder::LogDriverBuilder {
        log_driver_builder::LogDriverBuilder::new()
    }

    /// A member whose threads are not started yet.
    pub(crate) fn new(node: sync::Arc<node::Node>) -> Self {
        Self {
            node,
            threads: parking_lot::Mutex::new(Vec::new()),
            tasks: tokio_util::task::TaskTracker::new(),
            waiting: tokio::sync::Semaphore::new(MAX_WAITING),
        }
    }

    /// Waits until the member has ended by itself or was stopped.
    pub async fn ended(&self) -> log_end::LogEnd {
        self.node.cancel.cancelled().await;
        match self.node.is_replaced.load(sync::atomic::Ordering::Acquire) {
            true => log_end::LogEnd::DiskReplaced,
            false => log_end::LogEnd::Stopped,
        }
    }

    /// Stops at once, without handing over the lead, and returns when all files are closed.
    pub async fn abort(&self) {
        self.node.shut_down();
        self.tasks.close();
        self.tasks.wait().await;
        let threads = std::mem::take(&mut *self.threads.lock());
        let joined = tokio::task::spawn_blocking(move || {
            for thread in threads {
                let _ = thread.join();
            }
        });
        let _ = joined.await;
    }

    /// Hands the lead to another member, where there is one that answers, and waits until
    /// that member leads.
    async fn hand_over(&self) {
        if self.node.is_stopped() || !self.node.replica.lock().is_leading() {
            return;
        }
        let mut leadership = self.node.leadership.subscribe();
        self.node.step(lift_consensus::Event::TransferLeadership);
        let led = leadership
            .wait_for(|now| !matches!(now, leadership::Leadership::Follower { leader: None }));
        let _ = tokio::time::timeout(TRANSFER_TIMEOUT, led).await;
    }

    async fn wait(
        &self,
        result: oneshot::Receiver<Result<bytes::Bytes, propose_error::ProposeError>>,
    ) -> Result<bytes::Bytes, propose_error::ProposeError> {
        match tokio::time::timeout(PROPOSE_TIMEOUT, result).await {
            Ok(Ok(result)) => result,
            _ => Err(propose_error::ProposeError::Unknown),
        }
    }
}

#[async_trait::async_trait]
impl replicated_log::ReplicatedLog for LogDriver {
    async fn propose(
        &self,
        command: bytes::Bytes,
    ) -> Result<bytes::Bytes, error_stack::Report<propose_error::ProposeError>> {
        let length = command.len();
        if length > crate::MAX_COMMAND_BYTES {
            let e = propose_error::ProposeError::TooLong { length };
            return Err(error_stack::Report::new(e));
        }
        if self.node.is_stopped() {
            return Err(error_stack::Report::new(
                propose_error::ProposeError::Stopped,
            ));
        }
        let Ok(_permit) = self.waiting.try_acquire() else {
            self.node.counters.increment("log.busy");
            return Err(error_stack::Report::new(propose_error::ProposeError::Busy));
        };
        let (reply, result) = oneshot::channel();
        let queued = {
            let mut queue = self.node.queue.lock();
            queue.push(proposal::Proposal { command, reply });
            queue.len()
        };
        // The first proposer takes the step for all that are queued meanwhile.
        if queued == 1 {
            self.node.step_proposals();
        }
        self.wait(result).await.map_err(error_stack::Report::new)
    }

    fn leadership(&self) -> watch::Receiver<leadership::Leadership> {
        self.node.leadership.subscribe()
    }

    fn members(&self) -> log_status::LogStatus {
        let replica = self.node.replica.lock();
        log_status::LogStatus {
            id: self.node.id,
            term: replica.term(),
            commit: replica.commit_index(),
            last: replica.last_index(),
            members: replica.members().clone(),
            is_committed: replica.has_committed_members(),
            answers: replica.last_contacts(),
        }
    }

    async fn change_member(
        &self,
        change: lift_consensus::MemberChange,
    ) -> Result<(), error_stack::Report<change_error::ChangeError>> {
        if self.node.is_stopped() {
            return Err(error_stack::Report::new(change_error::ChangeError::Stopped));
        }
        let (reply, result) = oneshot::channel();
        if let Some(refusal) = self.node.step_change(change, reply) {
            if refusal.is_possible_retry() && self.members().members.has_applied(&change) {
                return Ok(());
            }
            let e = change_error::ChangeError::Refused(refusal);
            return Err(error_stack::Report::new(e));
        }
        match self.wait(result).await {
            Ok(_) => Ok(()),
            Err(_) => Err(error_stack::Report::new(change_error::ChangeError::Unknown)),
        }
    }

    async fn stop(&self) {
        self.hand_over().await;
        self.abort().await;
    }
}

impl Drop for LogDriver {
    fn drop(&mut self) {
        self.node.shut_down();
    }
}
