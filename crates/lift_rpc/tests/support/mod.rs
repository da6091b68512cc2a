//! A control port whose policy a test sets, and its server and client on loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use error_stack::Report;
use lift_rpc::{Confirmation, ControlClient, ControlError, ControlPort, ControlServer};
use lift_types::{Policy, PolicyView};
use lift_wire::{LinkKey, LinkKeys};
use tokio::sync::watch;

pub const LOCAL: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

type Result<T> = std::result::Result<T, Report<ControlError>>;

/// A control port whose policy a test sets. Most operations are refused.
#[derive(Debug)]
pub struct Scripted(pub watch::Sender<PolicyView>);

impl Scripted {
    pub fn at(revision: u64) -> Arc<Self> {
        let scripted = Arc::new(Self(watch::Sender::default()));
        scripted.set(revision);
        scripted
    }

    pub fn set(&self, revision: u64) {
        let policy = Policy {
            revision,
            ..Policy::default()
        };
        self.0.send_replace(PolicyView {
            policy: Arc::new(policy),
            confirmed_at: Some(Instant::now()),
        });
    }
}

fn refused<T>() -> Result<T> {
    Err(Report::new(ControlError::Unavailable))
}

#[async_trait::async_trait]
impl ControlPort for Scripted {
    async fn change(&self, _: lift_state::ConfigChange) -> Result<lift_state::ChangeReply> {
        refused()
    }
    async fn publish(&self, _: lift_types::Manifest) -> Result<()> {
        refused()
    }
    async fn manifest(&self, _: lift_types::VersionId) -> Result<lift_types::Manifest> {
        refused()
    }
    async fn versions(&self) -> Result<Vec<lift_types::VersionId>> {
        Ok(vec![String::from("v1")])
    }
    async fn register(&self, _: lift_state::Registration) -> Result<lift_types::Incarnation> {
        refused()
    }
    async fn renew(&self, renewal: lift_state::LeaseRenewal) -> Result<lift_state::LeaseReply> {
        if renewal.location.host == 0 {
            return Err(Report::new(ControlError::unregistered(0)));
        }
        let valid_for = Duration::from_secs(renewal.incarnation);
        Ok(lift_state::LeaseReply::Renewed { valid_for })
    }
    async fn activate(
        &self,
        _: lift_state::ActivationRequest,
    ) -> Result<lift_state::ActivationReply> {
        refused()
    }
    async fn claim(&self, _: lift_state::ClaimRequest) -> Result<lift_state::ClaimReply> {
        refused()
    }
    async fn find_claim(&self, _: lift_state::ClaimKey) -> Result<Option<lift_state::ClaimReply>> {
        refused()
    }
    async fn reassign(&self, _: lift_state::ReassignRequest) -> Result<lift_state::ClaimReply> {
        refused()
    }
    async fn record(&self, _: lift_state::RecordRequest) -> Result<lift_state::ClaimReply> {
        refused()
    }
    /// Longer than a frame.
    async fn audit(&self, _: u64, _: u32) -> Result<Vec<lift_state::AuditRecord>> {
        let record = lift_state::AuditRecord {
            revision: 1,
            id: String::from("change-1"),
            author: String::from("ana"),
            reason: "long ".repeat(200),
            at: std::time::SystemTime::UNIX_EPOCH,
            edits: Vec::new(),
        };
        Ok(vec![record; 10_000])
    }
    fn watch(&self) -> watch::Receiver<PolicyView> {
        self.0.subscribe()
    }
    async fn confirm(&self) -> Result<Confirmation> {
        Ok(Confirmation {
            policy: Arc::clone(&self.0.borrow().policy),
            age: Duration::ZERO,
        })
    }
}

pub fn keys() -> LinkKeys {
    LinkKeys::new(LinkKey::new(1, [7; 32]))
}

pub async fn serve(port: Arc<dyn ControlPort>, address: SocketAddr) -> ControlServer {
    let server = ControlServer::builder().keys(keys()).port(port);
    server.bind(address).await.unwrap()
}

pub fn client(addresses: &[SocketAddr]) -> ControlClient {
    let builder = ControlClient::builder().addresses(addresses.iter().copied());
    builder.keys(keys()).start().unwrap()
}

pub async fn until(client: &ControlClient, ok: impl FnMut(&PolicyView) -> bool) {
    let mut views = client.watch();
    let found = tokio::time::timeout(Duration::from_secs(5), views.wait_for(ok));
    found.await.expect("in time").unwrap();
}
