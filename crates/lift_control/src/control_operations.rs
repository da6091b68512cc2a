//! Control operations of a member.

use std::time;

use error_stack::ResultExt as _;
use tokio::sync::watch;

use crate::{control_node, limits};

type Result<T> = std::result::Result<T, control_node::Failure>;

#[async_trait::async_trait]
impl lift_rpc::ControlPort for control_node::ControlNode {
    async fn change(&self, change: lift_state::ConfigChange) -> Result<lift_state::ChangeReply> {
        let encoded = postcard::to_stdvec(&change)
            .change_context_lazy(|| limits::invalid_field("change", "can't be encoded"))?;
        let command = lift_state::Command::Change {
            change,
            hash: lift_types::ChunkHash::of(&encoded),
            at: time::SystemTime::now(),
        };
        match self.propose(command).await? {
            lift_state::CommandReply::Change(reply) => Ok(reply),
            _ => Err(unexpected_reply()),
        }
    }

    async fn publish(&self, manifest: lift_types::Manifest) -> Result<()> {
        limits::check_manifest(&manifest)?;
        match self.propose(lift_state::Command::Publish(manifest)).await? {
            lift_state::CommandReply::Published => Ok(()),
            _ => Err(unexpected_reply()),
        }
    }

    async fn manifest(&self, version: lift_types::VersionId) -> Result<lift_types::Manifest> {
        let found = self.machine.state().manifest(&version);
        self.check_leading()?;
        found.ok_or_else(|| missing(format!("version {version:?}")))
    }

    async fn versions(&self) -> Result<Vec<lift_types::VersionId>> {
        let found = self.machine.state().versions();
        self.check_leading()?;
        Ok(found)
    }

    async fn register(
        &self,
        registration: lift_state::Registration,
    ) -> Result<lift_types::Incarnation> {
        // Creates the state of the term before its first registration, because
        // `LeaderTerm::new` reads whether any agent has registered in an earlier term.
        self.leader_term()?;
        let command = lift_state::Command::Register(registration);
        match self.propose(command).await? {
            lift_state::CommandReply::Registered(incarnation) => Ok(incarnation),
            _ => Err(unexpected_reply()),
        }
    }

    async fn renew(&self, renewal: lift_state::LeaseRenewal) -> Result<lift_state::LeaseReply> {
        let (now, leader_term) = self.leader_term()?;
        let host = renewal.location.host;
        let registered = self.machine.state().incarnation(host);
        let Some(registered) = registered.filter(|r| *r >= renewal.incarnation) else {
            let error = lift_rpc::ControlError::unregistered(host);
            return Err(error_stack::Report::new(error));
        };
        Ok(leader_term.leases.renew(now, &renewal, registered))
    }

    async fn activate(
        &self,
        req: lift_state::ActivationRequest,
    ) -> Result<lift_state::ActivationReply> {
        let (now, leader_term) = self.leader_term()?;
        let policy = self.machine.state().policy();
        match leader_term.leases.decide_activation(now, &req, &policy) {
            lift_state::GateDecision::Grant => {}
            lift_state::GateDecision::Wait { retry_after } => {
                return Ok(lift_state::ActivationReply::Wait { retry_after });
            }
            lift_state::GateDecision::NotTargetVersion { target } => {
                return Ok(lift_state::ActivationReply::NotTargetVersion { target });
            }
            lift_state::GateDecision::NoLease => return Ok(lift_state::ActivationReply::NoLease),
        }
        let command = lift_state::Command::Fence {
            host: req.location.host,
            incarnation: req.incarnation,
        };
        let fencing = match self.propose(command).await {
            Ok(lift_state::CommandReply::Fenced(fencing)) => fencing,
            Ok(_) => {
                leader_term.leases.cancel_grant(&req);
                return Ok(lift_state::ActivationReply::NoLease);
            }
            Err(error) => {
                // The host receives no token and changes no weights, so the grant must not count it
                // as out of service.
                leader_term.leases.cancel_grant(&req);
                return Err(error);
            }
        };
        leader_term.leases.confirm_grant(&req, fencing);
        Ok(lift_state::ActivationReply::Granted {
            fencing,
            valid_for: leader_term.leases.lease_duration(),
        })
    }

    async fn claim(&self, req: lift_state::ClaimRequest) -> Result<lift_state::ClaimReply> {
        limits::check_key(&req.key)?;
        let (_, leader_term) = self.leader_term()?;
        let at = leader_term.log_time();
        to_claim_reply(self.propose(lift_state::Command::Claim { req, at }).await?)
    }

    async fn find_claim(
        &self,
        key: lift_state::ClaimKey,
    ) -> Result<Option<lift_state::ClaimReply>> {
        let found = self.machine.state().find_claim(&key);
        self.check_leading()?;
        Ok(found)
    }

    async fn reassign(&self, req: lift_state::ReassignRequest) -> Result<lift_state::ClaimReply> {
        to_claim_reply(self.propose(lift_state::Command::Reassign(req)).await?)
    }

    async fn record(&self, mut req: lift_state::RecordRequest) -> Result<lift_state::ClaimReply> {
        limits::check_headers(&req.outcome.headers)?;
        let body = req.outcome.body.take();
        req.outcome.body = body.filter(|b| b.len() <= lift_state::MAX_OUTCOME_BODY_BYTES);
        to_claim_reply(self.propose(lift_state::Command::Record(req)).await?)
    }

    async fn audit(
        &self,
        after: lift_types::Revision,
        limit: u32,
    ) -> Result<Vec<lift_state::AuditRecord>> {
        let found = self.machine.state().audit(after, limit as usize);
        self.check_leading()?;
        Ok(found)
    }

    async fn members(&self) -> Result<lift_consensus::MemberSet> {
        let members = self.log.members().members;
        self.check_leading()?;
        Ok(members)
    }

    async fn change_member(&self, change: lift_consensus::MemberChange) -> Result<()> {
        self.check_leading()?;
        let Err(error) = self.log.change_member(change).await else {
            return Ok(());
        };
        let control_error = match error.current_context() {
            lift_log::ChangeError::Refused(lift_consensus::Refusal::NotLeader) => {
                lift_rpc::ControlError::NotLeader { leader: None }
            }
            lift_log::ChangeError::Refused(refusal) => {
                limits::invalid_field("member", &refusal.to_string())
            }
            lift_log::ChangeError::Unknown | lift_log::ChangeError::Stopped => {
                lift_rpc::ControlError::Unknown
            }
        };
        Err(error.change_context(control_error))
    }

    fn watch(&self) -> watch::Receiver<lift_types::PolicyView> {
        self.machine.watch()
    }

    async fn confirm(&self) -> Result<lift_rpc::Confirmation> {
        let policy = self.machine.state().policy();
        self.check_leading()?;
        Ok(lift_rpc::Confirmation {
            policy,
            age: time::Duration::ZERO,
        })
    }
}

fn to_claim_reply(reply: lift_state::CommandReply) -> Result<lift_state::ClaimReply> {
    match reply {
        lift_state::CommandReply::Claim(reply) => Ok(reply),
        lift_state::CommandReply::Missing => Err(missing(String::from("claim"))),
        _ => Err(unexpected_reply()),
    }
}

fn missing(what: String) -> control_node::Failure {
    error_stack::Report::new(lift_rpc::ControlError::Missing { what })
}

/// Returns the error for a reply of the state machine that does not belong to the command.
fn unexpected_reply() -> control_node::Failure {
    error_stack::Report::new(lift_rpc::ControlError::Unknown)
}
