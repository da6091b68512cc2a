//! Requests of a server's clients.

use std::sync;

use crate::{control_error, control_port, policy_history, reply, request, swarm_port};

type Failure = error_stack::Report<control_error::ControlError>;

/// Most audit records of one answer, which must fit into a frame.
const MAX_AUDIT_RECORDS: u32 = 1_000;

/// What a server answers from.
#[derive(Debug)]
pub(crate) struct Dispatch {
    pub(crate) port: sync::Arc<dyn control_port::ControlPort>,
    pub(crate) swarm: Option<sync::Arc<dyn swarm_port::SwarmPort>>,
    pub(crate) history: policy_history::PolicyHistory,
}

impl Dispatch {
    /// Carries a request out.
    pub(crate) async fn answer(&self, req: request::Request) -> reply::Reply {
        match self.carry_out(req).await {
            Ok(reply) => reply,
            Err(error) => reply::Reply::Failed(error.current_context().clone()),
        }
    }

    async fn carry_out(&self, req: request::Request) -> Result<reply::Reply, Failure> {
        let port = self.port.as_ref();
        Ok(match req {
            request::Request::Confirm { revision } => self.confirm(revision).await?,
            request::Request::Change(change) => reply::Reply::Change(port.change(change).await?),
            request::Request::Publish(manifest) => {
                port.publish(manifest).await?;
                reply::Reply::Done
            }
            request::Request::Manifest(v) => reply::Reply::Manifest(port.manifest(v).await?),
            request::Request::Versions => reply::Reply::Versions(port.versions().await?),
            request::Request::Register(req) => reply::Reply::Incarnation(port.register(req).await?),
            request::Request::RenewAll(all) => reply::Reply::Leases(port.renew_all(all).await?),
            request::Request::Activate(req) => reply::Reply::Activation(port.activate(req).await?),
            request::Request::Claim(req) => reply::Reply::Claim(port.claim(req).await?),
            request::Request::FindClaim(key) => {
                reply::Reply::FoundClaim(port.find_claim(key).await?)
            }
            request::Request::Reassign(req) => reply::Reply::Claim(port.reassign(req).await?),
            request::Request::Record(req) => reply::Reply::Claim(port.record(req).await?),
            request::Request::Audit { after, limit } => {
                reply::Reply::Audit(port.audit(after, limit.min(MAX_AUDIT_RECORDS)).await?)
            }
            request::Request::SwarmView(req) => self.swarm_view(req).await?,
            request::Request::Members => reply::Reply::Members(port.members().await?),
            request::Request::ChangeMember(change) => {
                port.change_member(change).await?;
                reply::Reply::Done
            }
        })
    }

    async fn confirm(&self, known: lift_types::Revision) -> Result<reply::Reply, Failure> {
        let confirmation = self.port.confirm().await?;
        Ok(reply::Reply::Confirmed {
            revision: confirmation.policy.revision,
            age: confirmation.age,
            update: self.history.update(known, &confirmation.policy),
        })
    }

    async fn swarm_view(
        &self,
        req: lift_transfer::SwarmViewRequest,
    ) -> Result<reply::Reply, Failure> {
        let Some(swarm) = &self.swarm else {
            let problem = String::from("this server has no view of the swarm; ask an entry");
            let error = control_error::ControlError::UnknownMessage { problem };
            return Err(error_stack::Report::new(error));
        };
        Ok(reply::Reply::SwarmView(swarm.view(req).await?))
    }
}
