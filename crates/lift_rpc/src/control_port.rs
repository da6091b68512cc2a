//! The control operations.

use std::{fmt, sync, time};

use tokio::sync::watch;

use crate::{confirmation, control_error};

/// Result of a control operation.
type Result<T> = std::result::Result<T, error_stack::Report<control_error::ControlError>>;

/// Everything that entries, agents and operators ask of control.
#[async_trait::async_trait]
pub trait ControlPort: fmt::Debug + Send + Sync {
    /// Changes the configuration. See [`lift_state::ConfigChange`] for races and repeats.
    async fn change(&self, change: lift_state::ConfigChange) -> Result<lift_state::ChangeReply>;

    /// Makes a version known. Publishing the same manifest again changes nothing; another
    /// manifest under the same version is refused with [`control_error::ControlError::Invalid`].
    async fn publish(&self, manifest: lift_types::Manifest) -> Result<()>;

    /// Manifest of a version.
    async fn manifest(&self, version: lift_types::VersionId) -> Result<lift_types::Manifest>;

    /// Known versions, oldest first.
    async fn versions(&self) -> Result<Vec<lift_types::VersionId>>;

    /// Gives an agent its incarnation.
    async fn register(
        &self,
        registration: lift_state::Registration,
    ) -> Result<lift_types::Incarnation>;

    /// Renews an agent's lease.
    async fn renew(&self, renewal: lift_state::LeaseRenewal) -> Result<lift_state::LeaseReply>;

    /// Asks whether a host may switch to a version.
    async fn activate(
        &self,
        req: lift_state::ActivationRequest,
    ) -> Result<lift_state::ActivationReply>;

    /// Claims a non-idempotent request.
    async fn claim(&self, req: lift_state::ClaimRequest) -> Result<lift_state::ClaimReply>;

    /// Reads a claim without making one; `None` where there is none. The answer is current.
    async fn find_claim(&self, key: lift_state::ClaimKey)
    -> Result<Option<lift_state::ClaimReply>>;

    /// Moves a claim to another agent. `New` names the holder if this call moved it.
    async fn reassign(&self, req: lift_state::ReassignRequest) -> Result<lift_state::ClaimReply>;

    /// Records the outcome of a claimed request. `Recorded` gives the outcome that counts.
    async fn record(&self, req: lift_state::RecordRequest) -> Result<lift_state::ClaimReply>;

    /// Accepted changes after revision `after`, oldest first, at most `limit`.
    async fn audit(
        &self,
        after: lift_types::Revision,
        limit: u32,
    ) -> Result<Vec<lift_state::AuditRecord>>;

    /// Follows the policy in force at this node.
    fn watch(&self) -> watch::Receiver<lift_types::PolicyView>;

    /// Renews the leases of several agents, in their order; `None` where an agent is not
    /// registered. A relay sends many renewals at once.
    async fn renew_all(
        &self,
        renewals: Vec<lift_state::LeaseRenewal>,
    ) -> Result<Vec<Option<lift_state::LeaseReply>>> {
        let mut replies = Vec::with_capacity(renewals.len());
        for renewal in renewals {
            match self.renew(renewal).await {
                Ok(reply) => replies.push(Some(reply)),
                Err(error) if error.current_context().is_missing() => replies.push(None),
                Err(error) => return Err(error),
            }
        }
        Ok(replies)
    }

    /// Members of the replicated log.
    async fn members(&self) -> Result<lift_consensus::MemberSet> {
        Err(unserved("members"))
    }

    /// Makes one change of the members of the replicated log, for instance to replace a host
    /// whose disk was lost. It is not repeated after a lost answer: ask for the members then.
    async fn change_member(&self, change: lift_consensus::MemberChange) -> Result<()> {
        let _ = change;
        Err(unserved("changes of members"))
    }

    /// Tells which policy is current, and how old that knowledge is. Control overrides this
    /// to answer from the leader alone; other nodes answer from what was confirmed to them.
    async fn confirm(&self) -> Result<confirmation::Confirmation> {
        let view = self.watch().borrow().clone();
        let Some(at) = view.confirmed_at else {
            return Err(error_stack::Report::new(
                control_error::ControlError::Unavailable,
            ));
        };
        Ok(confirmation::Confirmation {
            policy: sync::Arc::clone(&view.policy),
            age: time::Instant::now().saturating_duration_since(at),
        })
    }
}

fn unserved(what: &str) -> error_stack::Report<control_error::ControlError> {
    let problem = format!("this server does not serve {what}; ask a control member");
    error_stack::Report::new(control_error::ControlError::UnknownMessage { problem })
}
