//! Relay of control operations.

use std::{sync, time};

use tokio::sync::{self as channels, watch};
use tokio::time as timer;

use crate::{confirmation, control_error, control_port, renewal_batches};

/// Manifests that are kept. Agents fetch the one of the current version, and after a
/// rollback the one before.
const KEPT_MANIFESTS: usize = 8;

/// Age up to which a confirmation is passed on at once. An older one means that a question
/// to control is late.
const FRESH: time::Duration = time::Duration::from_millis(600);

/// Time for which an agent's question waits for a fresh confirmation. It ends before the
/// agent asks elsewhere.
const FRESH_WAIT: time::Duration = time::Duration::from_millis(250);

type Result<T> = std::result::Result<T, error_stack::Report<control_error::ControlError>>;
type ManifestCell = sync::Arc<channels::OnceCell<lift_types::Manifest>>;

/// Passes the control operations of an entry's agents on. It keeps manifests, gathers lease
/// renewals, and answers questions for the current revision from what was confirmed to the
/// entry. A [`crate::ControlServer`] over it pushes the policy to the agents.
#[derive(Debug)]
pub struct Relay {
    upstream: sync::Arc<dyn control_port::ControlPort>,
    manifests: lift_shard::Shards<indexmap::IndexMap<lift_types::VersionId, ManifestCell>>,
    renewals: renewal_batches::RenewalBatches,
}

impl Relay {
    /// Relays to `upstream`. Call it within a `tokio` runtime.
    pub fn start(upstream: sync::Arc<dyn control_port::ControlPort>) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            renewals: renewal_batches::RenewalBatches::start(sync::Arc::clone(&upstream)),
            manifests: lift_shard::Shards::new(1, |_| indexmap::IndexMap::new()),
            upstream,
        })
    }

    /// Cell of a manifest, which agents that ask at the same time share.
    fn cell(&self, version: &str) -> ManifestCell {
        self.manifests.with_position(0, |manifests| {
            if let Some(cell) = manifests.get(version) {
                return sync::Arc::clone(cell);
            }
            if manifests.len() >= KEPT_MANIFESTS {
                manifests.shift_remove_index(0);
            }
            let cell = ManifestCell::default();
            manifests.insert(String::from(version), sync::Arc::clone(&cell));
            cell
        })
    }
}

#[async_trait::async_trait]
impl control_port::ControlPort for Relay {
    async fn change(&self, change: lift_state::ConfigChange) -> Result<lift_state::ChangeReply> {
        self.upstream.change(change).await.map_err(hide_leader)
    }

    async fn publish(&self, manifest: lift_types::Manifest) -> Result<()> {
        self.upstream.publish(manifest).await.map_err(hide_leader)
    }

    async fn manifest(&self, version: lift_types::VersionId) -> Result<lift_types::Manifest> {
        let cell = self.cell(&version);
        let fetch = || self.upstream.manifest(version);
        cell.get_or_try_init(fetch)
            .await
            .cloned()
            .map_err(hide_leader)
    }

    async fn versions(&self) -> Result<Vec<lift_types::VersionId>> {
        self.upstream.versions().await.map_err(hide_leader)
    }

    async fn register(
        &self,
        registration: lift_state::Registration,
    ) -> Result<lift_types::Incarnation> {
        self.upstream
            .register(registration)
            .await
            .map_err(hide_leader)
    }

    async fn renew(&self, renewal: lift_state::LeaseRenewal) -> Result<lift_state::LeaseReply> {
        let host = renewal.location.host;
        let reply = self.renewals.renew(renewal).await;
        match reply.map_err(|e| hide_leader(error_stack::Report::new(e)))? {
            Some(reply) => Ok(reply),
            None => Err(error_stack::Report::new(
                control_error::ControlError::unregistered(host),
            )),
        }
    }

    async fn activate(
        &self,
        req: lift_state::ActivationRequest,
    ) -> Result<lift_state::ActivationReply> {
        self.upstream.activate(req).await.map_err(hide_leader)
    }

    async fn claim(&self, req: lift_state::ClaimRequest) -> Result<lift_state::ClaimReply> {
        self.upstream.claim(req).await.map_err(hide_leader)
    }

    async fn find_claim(
        &self,
        key: lift_state::ClaimKey,
    ) -> Result<Option<lift_state::ClaimReply>> {
        self.upstream.find_claim(key).await.map_err(hide_leader)
    }

    async fn reassign(&self, req: lift_state::ReassignRequest) -> Result<lift_state::ClaimReply> {
        self.upstream.reassign(req).await.map_err(hide_leader)
    }

    async fn record(&self, req: lift_state::RecordRequest) -> Result<lift_state::ClaimReply> {
        self.upstream.record(req).await.map_err(hide_leader)
    }

    async fn audit(
        &self,
        after: lift_types::Revision,
        limit: u32,
    ) -> Result<Vec<lift_state::AuditRecord>> {
        self.upstream.audit(after, limit).await.map_err(hide_leader)
    }

    async fn members(&self) -> Result<lift_consensus::MemberSet> {
        self.upstream.members().await.map_err(hide_leader)
    }

    async fn change_member(&self, change: lift_consensus::MemberChange) -> Result<()> {
        self.upstream
            .change_member(change)
            .await
            .map_err(hide_leader)
    }

    fn watch(&self) -> watch::Receiver<lift_types::PolicyView> {
        self.upstream.watch()
    }

    async fn confirm(&self) -> Result<confirmation::Confirmation> {
        let mut views = self.upstream.watch();
        let fresh = views.wait_for(|view| view.confirmed_at.is_some_and(|at| at.elapsed() < FRESH));
        // Without a fresh confirmation the answer carries its age.
        let _ = timer::timeout(FRESH_WAIT, fresh).await;
        let view = views.borrow().clone();
        let Some(at) = view.confirmed_at else {
            return Err(error_stack::Report::new(
                control_error::ControlError::Unavailable,
            ));
        };
        Ok(confirmation::Confirmation {
            policy: view.policy,
            age: at.elapsed(),
        })
    }
}

/// Agents must not go past their entry, so they don't learn the leader's address.
fn hide_leader(
    error: error_stack::Report<control_error::ControlError>,
) -> error_stack::Report<control_error::ControlError> {
    match error.current_context() {
        control_error::ControlError::NotLeader { .. } => {
            error.change_context(control_error::ControlError::Unavailable)
        }
        _ => error,
    }
}
