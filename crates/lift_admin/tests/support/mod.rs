//! A control port and a fleet in memory, for tests of the administration API.
#![allow(dead_code, missing_docs, clippy::unwrap_used, clippy::expect_used)]

use std::{net, sync, time};

use tokio::sync::watch;

type Result<T> = std::result::Result<T, error_stack::Report<lift_rpc::ControlError>>;

/// What the next calls of `change` do after they were carried out, or instead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// The change is carried out, the answer is lost.
    LoseAnswer,
    /// The change is not carried out.
    Unavailable,
}

#[derive(Debug)]
pub struct FakeControl {
    state: parking_lot::Mutex<State>,
    view: watch::Sender<lift_types::PolicyView>,
}

#[derive(Debug)]
struct State {
    records: Vec<lift_state::AuditRecord>,
    versions: Vec<lift_types::Manifest>,
    fault: Fault,
}

impl FakeControl {
    pub fn new() -> sync::Arc<Self> {
        let state = State {
            records: Vec::new(),
            versions: Vec::new(),
            fault: Fault::None,
        };
        sync::Arc::new(Self {
            state: parking_lot::Mutex::new(state),
            view: watch::Sender::new(lift_types::PolicyView::default()),
        })
    }

    /// Sets the fault of the next change; later ones have none.
    pub fn fail_next(&self, fault: Fault) {
        self.state.lock().fault = fault;
    }

    pub fn policy(&self) -> lift_types::Policy {
        lift_types::Policy::clone(&self.view.borrow().policy)
    }

    pub fn changes(&self) -> usize {
        self.state.lock().records.len()
    }

    fn accept(&self, change: lift_state::ConfigChange) -> lift_state::ChangeReply {
        let mut state = self.state.lock();
        if let Some(earlier) = state.records.iter().find(|r| r.id == change.id) {
            let revision = earlier.revision;
            return lift_state::ChangeReply::Accepted { revision };
        }
        let mut policy = self.policy();
        if change.expected != policy.revision {
            let by = state.records.last().map(|r| r.author.clone());
            return lift_state::ChangeReply::Conflict {
                current: policy.revision,
                by: by.unwrap_or_default(),
            };
        }
        policy.revision += 1;
        for edit in &change.edits {
            apply(&mut policy, edit, &change.author);
        }
        state.records.push(lift_state::AuditRecord {
            revision: policy.revision,
            id: change.id,
            author: change.author,
            reason: change.reason,
            at: time::SystemTime::now(),
            edits: change.edits,
        });
        let revision = policy.revision;
        self.view.send_replace(lift_types::PolicyView {
            policy: sync::Arc::new(policy),
            confirmed_at: Some(time::Instant::now()),
        });
        lift_state::ChangeReply::Accepted { revision }
    }
}

fn apply(policy: &mut lift_types::Policy, edit: &lift_state::ChangeEdit, author: &str) {
    match edit {
        lift_state::ChangeEdit::SetDefaultVersion(version) => {
            policy.default.version = Some(version.clone());
        }
        lift_state::ChangeEdit::SetDefault(default) => policy.default = default.clone(),
        lift_state::ChangeEdit::AddException {
            id,
            scope,
            value,
            reason,
        } => policy.exceptions.push(lift_types::PolicyException {
            id: id.clone(),
            scope: scope.clone(),
            value: value.clone(),
            reason: reason.clone(),
            author: String::from(author),
            since: policy.revision,
        }),
        lift_state::ChangeEdit::RemoveException { id } => {
            policy.exceptions.retain(|e| e.id != *id);
        }
    }
}

#[async_trait::async_trait]
impl lift_rpc::ControlPort for FakeControl {
    async fn change(&self, change: lift_state::ConfigChange) -> Result<lift_state::ChangeReply> {
        let fault = std::mem::replace(&mut self.state.lock().fault, Fault::None);
        match fault {
            Fault::None => Ok(self.accept(change)),
            Fault::LoseAnswer => {
                self.accept(change);
                Err(lift_rpc::ControlError::Unknown.into())
            }
            Fault::Unavailable => Err(lift_rpc::ControlError::Unavailable.into()),
        }
    }

    async fn publish(&self, manifest: lift_types::Manifest) -> Result<()> {
        self.state.lock().versions.push(manifest);
        Ok(())
    }

    async fn manifest(&self, version: lift_types::VersionId) -> Result<lift_types::Manifest> {
        let state = self.state.lock();
        let found = state.versions.iter().find(|m| m.version == version);
        let what = format!("version {version}");
        found
            .cloned()
            .ok_or_else(|| lift_rpc::ControlError::Missing { what }.into())
    }

    async fn versions(&self) -> Result<Vec<lift_types::VersionId>> {
        let state = self.state.lock();
        Ok(state.versions.iter().map(|m| m.version.clone()).collect())
    }

    async fn register(&self, _: lift_state::Registration) -> Result<lift_types::Incarnation> {
        Err(lift_rpc::ControlError::Unavailable.into())
    }

    async fn renew(&self, _: lift_state::LeaseRenewal) -> Result<lift_state::LeaseReply> {
        Err(lift_rpc::ControlError::Unavailable.into())
    }

    async fn activate(
        &self,
        _: lift_state::ActivationRequest,
    ) -> Result<lift_state::ActivationReply> {
        Err(lift_rpc::ControlError::Unavailable.into())
    }

    async fn claim(&self, _: lift_state::ClaimRequest) -> Result<lift_state::ClaimReply> {
        Err(lift_rpc::ControlError::Unavailable.into())
    }

    async fn find_claim(&self, _: lift_state::ClaimKey) -> Result<Option<lift_state::ClaimReply>> {
        Err(lift_rpc::ControlError::Unavailable.into())
    }

    async fn reassign(&self, _: lift_state::ReassignRequest) -> Result<lift_state::ClaimReply> {
        Err(lift_rpc::ControlError::Unavailable.into())
    }

    async fn record(&self, _: lift_state::RecordRequest) -> Result<lift_state::ClaimReply> {
        Err(lift_rpc::ControlError::Unavailable.into())
    }

    async fn audit(
        &self,
        after: lift_types::Revision,
        limit: u32,
    ) -> Result<Vec<lift_state::AuditRecord>> {
        let state = self.state.lock();
        let records = state.records.iter().filter(|r| r.revision > after);
        Ok(records.take(limit as usize).cloned().collect())
    }

    fn watch(&self) -> watch::Receiver<lift_types::PolicyView> {
        self.view.subscribe()
    }
}

/// Three model replicas in two regions and a plain service.
#[derive(Debug)]
pub struct FakeFleet {
    pub drained: parking_lot::Mutex<Vec<lift_types::HostId>>,
}

impl FakeFleet {
    pub fn new() -> sync::Arc<Self> {
        let drained = parking_lot::Mutex::new(Vec::new());
        sync::Arc::new(Self { drained })
    }
}

pub fn member(host: u32, region: &str, serving: Option<&str>) -> lift_admin::FleetMember {
    lift_admin::FleetMember {
        location: lift_types::Location {
            region: String::from(region),
            failure_domain: format!("{region}-1"),
            host,
        },
        incarnation: 1,
        services: vec![String::from("assistant")],
        kind: lift_types::ServiceKind::Model,
        serving: serving.map(String::from),
        state: lift_admin::MemberState::Up,
        in_flight: 0,
    }
}

#[async_trait::async_trait]
impl lift_admin::FleetView for FakeFleet {
    fn members(&self) -> Vec<lift_admin::FleetMember> {
        let mut plain = member(4, "plateau", None);
        plain.kind = lift_types::ServiceKind::Plain;
        vec![
            member(2, "piedmont", Some("v1")),
            member(1, "piedmont", Some("v1")),
            member(3, "plateau", Some("v2")),
            plain,
        ]
    }

    async fn drain(
        &self,
        host: lift_types::HostId,
    ) -> std::result::Result<(), error_stack::Report<lift_admin::FleetError>> {
        if host > 4 {
            return Err(lift_admin::FleetError::UnknownHost(host).into());
        }
        self.drained.lock().push(host);
        Ok(())
    }
}

/// Starts an administration API on a free loopback port, without tokens and TLS.
pub async fn start(control: &sync::Arc<FakeControl>) -> lift_admin::Admin {
    builder(control).start(any_port()).await.unwrap()
}

pub fn builder(control: &sync::Arc<FakeControl>) -> lift_admin::AdminBuilder {
    let counters = sync::Arc::new(lift_obs::Counters::new());
    lift_admin::Admin::builder(control.clone(), FakeFleet::new(), counters)
}

pub fn any_port() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], 0))
}
