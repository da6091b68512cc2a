//! Control in memory.

use std::{sync, sync::atomic, time};

use tokio::sync::watch;

use crate::{control_fault, policy_edit};

/// Number of shards of the claims.
const SHARDS: usize = 64;

/// Time between two confirmations of the policy.
const CONFIRM_INTERVAL: time::Duration = time::Duration::from_millis(200);

type Result<T> = std::result::Result<T, error_stack::Report<lift_rpc::ControlError>>;

/// A control without log and disk, for tests. It follows the rules for claims, and its
/// operations can be made to fail.
#[derive(Debug)]
pub struct MemoryControl {
    policy: watch::Sender<lift_types::PolicyView>,
    claims: lift_shard::Shards<indexmap::IndexMap<lift_state::ClaimKey, Claim>>,
    manifests: parking_lot::Mutex<indexmap::IndexMap<lift_types::VersionId, lift_types::Manifest>>,
    incarnations: atomic::AtomicU64,
    fencing: atomic::AtomicU64,
    fault: watch::Sender<control_fault::ControlFault>,
}

#[derive(Clone, Debug)]
struct Claim {
    body_hash: lift_types::ChunkHash,
    holder: lift_state::ClaimHolder,
    outcome: Option<lift_state::Outcome>,
}

impl MemoryControl {
    /// Starts with `policy` and confirms it until the handle is dropped or a fault is set.
    pub fn start(policy: lift_types::Policy) -> sync::Arc<Self> {
        let (policy, _) = watch::channel(lift_types::PolicyView {
            policy: sync::Arc::new(policy),
            confirmed_at: Some(time::Instant::now()),
        });
        let (fault, _) = watch::channel(control_fault::ControlFault::None);
        let control = sync::Arc::new(Self {
            policy,
            claims: lift_shard::Shards::new(SHARDS, |_| indexmap::IndexMap::new()),
            manifests: parking_lot::Mutex::default(),
            incarnations: atomic::AtomicU64::new(1),
            fencing: atomic::AtomicU64::new(1),
            fault,
        });
        tokio::spawn(confirm(sync::Arc::downgrade(&control)));
        control
    }

    /// Replaces the policy.
    pub fn set_policy(&self, policy: lift_types::Policy) {
        self.policy.send_modify(|view| {
            view.policy = sync::Arc::new(policy);
            view.confirmed_at = Some(time::Instant::now());
        });
    }

    /// Makes operations fail from now on.
    pub fn set_fault(&self, fault: control_fault::ControlFault) {
        self.fault.send_replace(fault);
    }

    /// Makes the policy unconfirmed at once.
    pub fn forget_confirmation(&self) {
        self.policy.send_modify(|view| view.confirmed_at = None);
    }

    /// Number of claims.
    pub fn claim_count(&self) -> usize {
        self.claims.fold(0, |sum, claims| sum + claims.len())
    }

    fn check(&self) -> Result<()> {
        match *self.fault.borrow() {
            control_fault::ControlFault::Unavailable => Err(error_stack::Report::new(
                lift_rpc::ControlError::Unavailable,
            )),
            _ => Ok(()),
        }
    }

    fn reply<T>(&self, reply: T) -> Result<T> {
        match *self.fault.borrow() {
            control_fault::ControlFault::LosesAnswers => {
                Err(error_stack::Report::new(lift_rpc::ControlError::Unknown))
            }
            _ => Ok(reply),
        }
    }
}

fn known(claim: &Claim) -> lift_state::ClaimReply {
    match &claim.outcome {
        Some(outcome) => lift_state::ClaimReply::Recorded(outcome.clone()),
        None => lift_state::ClaimReply::Pending(claim.holder),
    }
}

async fn confirm(control: sync::Weak<MemoryControl>) {
    loop {
        tokio::time::sleep(CONFIRM_INTERVAL).await;
        let Some(control) = control.upgrade() else {
            return;
        };
        if *control.fault.borrow() != control_fault::ControlFault::Unavailable {
            let now = Some(time::Instant::now());
            control.policy.send_modify(|view| view.confirmed_at = now);
        }
    }
}

#[async_trait::async_trait]
impl lift_rpc::ControlPort for MemoryControl {
    async fn change(&self, change: lift_state::ConfigChange) -> Result<lift_state::ChangeReply> {
        self.check()?;
        let mut reply = lift_state::ChangeReply::Accepted { revision: 0 };
        self.policy.send_modify(|view| {
            let mut policy = lift_types::Policy::clone(&view.policy);
            if policy.revision != change.expected {
                reply = lift_state::ChangeReply::Conflict {
                    current: policy.revision,
                    by: String::from("another change"),
                };
                return;
            }
            policy.revision += 1;
            for edit in &change.edits {
                policy_edit::apply(&mut policy, edit, &change.author);
            }
            reply = lift_state::ChangeReply::Accepted {
                revision: policy.revision,
            };
            view.policy = sync::Arc::new(policy);
        });
        self.reply(reply)
    }

    async fn publish(&self, manifest: lift_types::Manifest) -> Result<()> {
        self.check()?;
        let version = manifest.version.clone();
        self.manifests.lock().insert(version, manifest);
        self.reply(())
    }

    async fn manifest(&self, version: lift_types::VersionId) -> Result<lift_types::Manifest> {
        self.check()?;
        let found = self.manifests.lock().get(&version).cloned();
        found.ok_or_else(|| {
            error_stack::Report::new(lift_rpc::ControlError::Missing { what: version })
        })
    }

    async fn versions(&self) -> Result<Vec<lift_types::VersionId>> {
        self.check()?;
        Ok(self.manifests.lock().keys().cloned().collect())
    }

    async fn register(
        &self,
        _registration: lift_state::Registration,
    ) -> Result<lift_types::Incarnation> {
        self.check()?;
        let incarnation = self.incarnations.fetch_add(1, atomic::Ordering::Relaxed);
        self.reply(incarnation)
    }

    async fn renew(&self, _renewal: lift_state::LeaseRenewal) -> Result<lift_state::LeaseReply> {
        self.check()?;
        self.reply(lift_state::LeaseReply::Renewed {
            valid_for: lift_types::PolicyView::CONFIRM_TIMEOUT,
        })
    }

    async fn activate(
        &self,
        _req: lift_state::ActivationRequest,
    ) -> Result<lift_state::ActivationReply> {
        self.check()?;
        let fencing = self.fencing.fetch_add(1, atomic::Ordering::Relaxed);
        self.reply(lift_state::ActivationReply::Granted {
            fencing,
            valid_for: lift_types::PolicyView::CONFIRM_TIMEOUT,
        })
    }

    async fn claim(&self, req: lift_state::ClaimRequest) -> Result<lift_state::ClaimReply> {
        self.check()?;
        let reply = self.claims.with(&req.key, |claims| {
            if let Some(claim) = claims.get(&req.key) {
                if claim.body_hash != req.request_hash {
                    return lift_state::ClaimReply::Mismatch;
                }
                return known(claim);
            }
            let holder = lift_state::ClaimHolder {
                host: req.host,
                incarnation: req.incarnation,
                attempt: 1,
            };
            let claim = Claim {
                body_hash: req.request_hash,
                holder,
                outcome: None,
            };
            claims.insert(req.key.clone(), claim);
            lift_state::ClaimReply::New(holder)
        });
        self.reply(reply)
    }

    async fn find_claim(
        &self,
        key: lift_state::ClaimKey,
    ) -> Result<Option<lift_state::ClaimReply>> {
        self.check()?;
        let found = self.claims.with(&key, |claims| claims.get(&key).map(known));
        self.reply(found)
    }

    async fn reassign(&self, req: lift_state::ReassignRequest) -> Result<lift_state::ClaimReply> {
        self.check()?;
        let reply = self.claims.with(&req.key, |claims| {
            let claim = claims.get_mut(&req.key)?;
            if claim.outcome.is_some() || claim.holder != req.refused {
                return Some(known(claim));
            }
            claim.holder = lift_state::ClaimHolder {
                host: req.host,
                incarnation: req.incarnation,
                attempt: claim.holder.attempt + 1,
            };
            Some(lift_state::ClaimReply::New(claim.holder))
        });
        let reply = reply.ok_or_else(|| {
            error_stack::Report::new(lift_rpc::ControlError::Missing { what: req.key.key })
        })?;
        self.reply(reply)
    }

    async fn record(&self, req: lift_state::RecordRequest) -> Result<lift_state::ClaimReply> {
        self.check()?;
        let reply = self.claims.with(&req.key, |claims| {
            let claim = claims.get_mut(&req.key)?;
            if claim.outcome.is_none() && claim.holder == req.holder {
                claim.outcome = Some(req.outcome.clone());
            }
            Some(known(claim))
        });
        let reply = reply.ok_or_else(|| {
            error_stack::Report::new(lift_rpc::ControlError::Missing { what: req.key.key })
        })?;
        self.reply(reply)
    }

    async fn audit(
        &self,
        _after: lift_types::Revision,
        _limit: u32,
    ) -> Result<Vec<lift_state::AuditRecord>> {
        self.check()?;
        Ok(Vec::new())
    }

    fn watch(&self) -> watch::Receiver<lift_types::PolicyView> {
        self.policy.subscribe()
    }
}
