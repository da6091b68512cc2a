//! TCP client of the control operations.

use std::{fmt, sync};

use tokio::sync::watch;

use crate::{
    client_config, client_core, client_link, confirm_loop, control_client_builder, control_error,
    control_port, reply, request, swarm_port,
};

type Result<T> = std::result::Result<T, error_stack::Report<control_error::ControlError>>;

/// Asks control over TCP: an entry asks the control members and follows their hints to the
/// leader, an agent asks the relays of a few entries. It keeps one connection, closes it
/// when it has been silent for 2 s or leaves a question unanswered, and then uses another.
///
/// Operations that may be repeated are sent again after a lost connection. Claims and
/// reassignments are not: they end with [`control_error::ControlError::Unknown`], since a
/// repeat would not tell whether the first one was carried out.
pub struct ControlClient {
    core: sync::Arc<client_core::ClientCore>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl ControlClient {
    /// Collects the settings of a client.
    pub fn builder() -> control_client_builder::ControlClientBuilder {
        control_client_builder::ControlClientBuilder::new()
    }

    pub(crate) fn start(config: client_config::ClientConfig) -> Self {
        let core = sync::Arc::new(client_core::ClientCore::new(config));
        let tasks = vec![
            tokio::spawn(sync::Arc::clone(&core).keep_connected()),
            tokio::spawn(confirm_loop::run(sync::Arc::clone(&core))),
        ];
        Self { core, tasks }
    }

    /// The budget of the runtime is left out, since it would let requests of one task
    /// overtake each other before they are written.
    async fn call(&self, req: request::Request) -> Result<reply::Reply> {
        let call = self.core.call(&req, client_link::Resend::Allowed);
        tokio::task::unconstrained(call).await
    }

    async fn call_unrepeated(&self, req: request::Request) -> Result<lift_state::ClaimReply> {
        match self.core.call(&req, client_link::Resend::Refused).await? {
            reply::Reply::Claim(reply) => Ok(reply),
            other => Err(unexpected(&other)),
        }
    }
}

/// Makes a method that sends one request and expects one kind of reply.
macro_rules! expect {
    ($reply:expr, $kind:path) => {
        match $reply {
            $kind(value) => Ok(value),
            other => Err(unexpected(&other)),
        }
    };
}

#[async_trait::async_trait]
impl control_port::ControlPort for ControlClient {
    async fn change(&self, change: lift_state::ConfigChange) -> Result<lift_state::ChangeReply> {
        let reply = self.call(request::Request::Change(change)).await?;
        let reply: lift_state::ChangeReply = expect!(reply, reply::Reply::Change)?;
        if matches!(reply, lift_state::ChangeReply::Accepted { .. }) {
            self.core.pull.notify_one();
        }
        Ok(reply)
    }

    async fn publish(&self, manifest: lift_types::Manifest) -> Result<()> {
        match self.call(request::Request::Publish(manifest)).await? {
            reply::Reply::Done => Ok(()),
            other => Err(unexpected(&other)),
        }
    }

    async fn manifest(&self, version: lift_types::VersionId) -> Result<lift_types::Manifest> {
        let reply = self.call(request::Request::Manifest(version)).await?;
        expect!(reply, reply::Reply::Manifest)
    }

    async fn versions(&self) -> Result<Vec<lift_types::VersionId>> {
        let reply = self.call(request::Request::Versions).await?;
        expect!(reply, reply::Reply::Versions)
    }

    async fn register(
        &self,
        registration: lift_state::Registration,
    ) -> Result<lift_types::Incarnation> {
        let reply = self.call(request::Request::Register(registration)).await?;
        expect!(reply, reply::Reply::Incarnation)
    }

    async fn renew(&self, renewal: lift_state::LeaseRenewal) -> Result<lift_state::LeaseReply> {
        let host = renewal.location.host;
        let replies = self.renew_all(vec![renewal]).await?;
        match replies.into_iter().next() {
            Some(Some(reply)) => Ok(reply),
            Some(None) => {
                let error = control_error::ControlError::unregistered(host);
                Err(error_stack::Report::new(error))
            }
            None => Err(error_stack::Report::new(
                control_error::ControlError::Unknown,
            )),
        }
    }

    async fn renew_all(
        &self,
        renewals: Vec<lift_state::LeaseRenewal>,
    ) -> Result<Vec<Option<lift_state::LeaseReply>>> {
        let reply = self.call(request::Request::RenewAll(renewals)).await?;
        expect!(reply, reply::Reply::Leases)
    }

    async fn activate(
        &self,
        req: lift_state::ActivationRequest,
    ) -> Result<lift_state::ActivationReply> {
        let reply = self.call(request::Request::Activate(req)).await?;
        expect!(reply, reply::Reply::Activation)
    }

    async fn claim(&self, req: lift_state::ClaimRequest) -> Result<lift_state::ClaimReply> {
        self.call_unrepeated(request::Request::Claim(req)).await
    }

    async fn find_claim(
        &self,
        key: lift_state::ClaimKey,
    ) -> Result<Option<lift_state::ClaimReply>> {
        let reply = self.call(request::Request::FindClaim(key)).await?;
        expect!(reply, reply::Reply::FoundClaim)
    }

    async fn reassign(&self, req: lift_state::ReassignRequest) -> Result<lift_state::ClaimReply> {
        self.call_unrepeated(request::Request::Reassign(req)).await
    }

    async fn record(&self, req: lift_state::RecordRequest) -> Result<lift_state::ClaimReply> {
        let reply = self.call(request::Request::Record(req)).await?;
        expect!(reply, reply::Reply::Claim)
    }

    async fn audit(
        &self,
        after: lift_types::Revision,
        limit: u32,
    ) -> Result<Vec<lift_state::AuditRecord>> {
        let req = request::Request::Audit { after, limit };
        expect!(self.call(req).await?, reply::Reply::Audit)
    }

    async fn members(&self) -> Result<lift_consensus::MemberSet> {
        let reply = self.call(request::Request::Members).await?;
        expect!(reply, reply::Reply::Members)
    }

    async fn change_member(&self, change: lift_consensus::MemberChange) -> Result<()> {
        let req = request::Request::ChangeMember(change);
        match self.core.call(&req, client_link::Resend::Refused).await? {
            reply::Reply::Done => Ok(()),
            other => Err(unexpected(&other)),
        }
    }

    fn watch(&self) -> watch::Receiver<lift_types::PolicyView> {
        self.core.view.subscribe()
    }
}

#[async_trait::async_trait]
impl swarm_port::SwarmPort for ControlClient {
    async fn view(&self, req: lift_transfer::SwarmViewRequest) -> Result<lift_transfer::SwarmView> {
        let reply = self.call(request::Request::SwarmView(req)).await?;
        expect!(reply, reply::Reply::SwarmView)
    }
}

impl Drop for ControlClient {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl fmt::Debug for ControlClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlClient")
            .field("addresses", &self.core.config.addresses)
            .finish_non_exhaustive()
    }
}

/// The other end carried the request out but answered with another kind of message.
fn unexpected(reply: &reply::Reply) -> error_stack::Report<control_error::ControlError> {
    let kind = match reply {
        reply::Reply::Failed(error) => return error_stack::Report::new(error.clone()),
        _ => "the reply is of another kind",
    };
    error_stack::Report::new(control_error::ControlError::Unknown).attach(kind)
}
