//! Control of the request experiment.

use std::{net, sync, time};

use error_stack::ResultExt as _;
use lift_rpc::ControlPort as _;

use crate::{bench_error, requests_role};

/// Control members.
const MEMBERS: u64 = 3;

/// Worker threads of all control members.
const THREADS: usize = 3;

/// Longest wait for a leader and for a policy.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(10);

type Result<T> = std::result::Result<T, error_stack::Report<bench_error::BenchError>>;

/// Three members that sync their logs to files.
#[derive(Debug)]
pub(crate) struct RequestsControl {
    addresses: Vec<net::SocketAddr>,
    keys: sync::Arc<lift_wire::LinkKeys>,
    _members: Vec<Member>,
    _folders: Vec<tempfile::TempDir>,
    _role: requests_role::RequestsRole,
}

#[derive(Debug)]
struct Member {
    _log: sync::Arc<lift_log::LogDriver>,
    _node: sync::Arc<lift_control::ControlNode>,
    _server: lift_rpc::ControlServer,
}

impl RequestsControl {
    /// Starts the members.
    pub(crate) async fn start(keys: sync::Arc<lift_wire::LinkKeys>) -> Result<Self> {
        let role = requests_role::RequestsRole::start("req-control", THREADS)?;
        let mut folders = Vec::new();
        let mut parts = Vec::new();
        let mut initial = Vec::new();
        for id in 1..=MEMBERS {
            let folder = tempfile::tempdir().change_context(bench_error::BenchError::Start)?;
            let peers = listener()?;
            let clients = listener()?;
            initial.push((id, addr_of(&peers)?, addr_of(&clients)?));
            parts.push((id, folder.path().to_path_buf(), peers, clients));
            folders.push(folder);
        }
        let addresses = initial.iter().map(|(_, _, client)| *client).collect();
        let mut members = Vec::new();
        for part in parts {
            let member = start_member(part, initial.clone(), sync::Arc::clone(&keys));
            members.push(role.run(member).await??);
        }
        Ok(Self {
            addresses,
            keys,
            _members: members,
            _folders: folders,
            _role: role,
        })
    }

    /// A client of the members. Call it on the runtime that is to run it.
    pub(crate) fn client(&self) -> Result<sync::Arc<lift_rpc::ControlClient>> {
        let client = lift_rpc::ControlClient::builder()
            .addresses(self.addresses.iter().copied())
            .keys(lift_wire::LinkKeys::clone(&self.keys))
            .start()
            .change_context(bench_error::BenchError::Start)?;
        Ok(sync::Arc::new(client))
    }

    /// Makes the services known.
    pub(crate) async fn set_services(&self) -> Result<()> {
        let client = self.client()?;
        let change = lift_state::ConfigChange {
            id: String::from("requests-experiment"),
            expected: 0,
            author: String::from("experiment"),
            reason: String::from("services of the experiment"),
            edits: vec![lift_state::ChangeEdit::SetDefault(default_policy())],
        };
        let changed = tokio::time::timeout(START_TIMEOUT, async {
            while client.change(change.clone()).await.is_err() {
                tokio::time::sleep(time::Duration::from_millis(50)).await;
            }
        });
        changed
            .await
            .change_context(bench_error::BenchError::Start)?;
        wait_for_services(client.as_ref()).await
    }
}

/// Waits until the policy with the services is in force at `port`.
pub(crate) async fn wait_for_services(port: &dyn lift_rpc::ControlPort) -> Result<()> {
    let mut views = port.watch();
    let known = views.wait_for(|view| view.policy.kind_of("ledger").is_some());
    let waited = tokio::time::timeout(START_TIMEOUT, known).await;
    let found = waited.change_context(bench_error::BenchError::Start)?;
    found
        .map(|_| ())
        .change_context(bench_error::BenchError::Start)
}

async fn start_member(
    part: (
        lift_types::MemberId,
        std::path::PathBuf,
        net::TcpListener,
        net::TcpListener,
    ),
    initial: Vec<(lift_types::MemberId, net::SocketAddr, net::SocketAddr)>,
    keys: sync::Arc<lift_wire::LinkKeys>,
) -> Result<Member> {
    let (id, folder, peers, clients) = part;
    let start = bench_error::BenchError::Start;
    let machine = sync::Arc::new(lift_control::ControlMachine::new());
    let mut builder = lift_log::LogDriver::builder()
        .id(id)
        .folder(folder)
        .peer_listener(peers)
        .keys(lift_wire::LinkKeys::clone(&keys))
        .state_machine(sync::Arc::clone(&machine) as _);
    for (id, peer, client) in initial {
        builder = builder.initial_member(id, peer, client);
    }
    let log = builder.start().await.change_context(start.clone())?;
    let log = sync::Arc::new(log);
    let node = lift_control::ControlNode::builder()
        .log(sync::Arc::clone(&log) as _)
        .machine(machine)
        .start()
        .change_context(start.clone())?;
    let listener = tokio::net::TcpListener::from_std(clients).change_context(start.clone())?;
    let server = lift_rpc::ControlServer::builder()
        .keys(lift_wire::LinkKeys::clone(&keys))
        .port(sync::Arc::clone(&node) as _)
        .serve(listener)
        .change_context(start)?;
    Ok(Member {
        _log: log,
        _node: node,
        _server: server,
    })
}

fn default_policy() -> lift_types::PolicyDefault {
    let idempotent = lift_types::Idempotency::Idempotent;
    let service = |kind, method: &str| lift_types::ServicePolicy {
        kind,
        methods: [(String::from(method), idempotent)].into(),
    };
    let model = service(lift_types::ServiceKind::Model, "chat");
    let plain = service(lift_types::ServiceKind::Plain, "lookup");
    let limits = lift_types::WorkspaceLimits {
        rate_per_s: 1_000_000,
        burst: 1_000_000,
        ..lift_types::WorkspaceLimits::default()
    };
    lift_types::PolicyDefault {
        limits,
        services: [
            (String::from("assistant"), model),
            (String::from("ledger"), plain),
        ]
        .into(),
        ..lift_types::PolicyDefault::default()
    }
}

fn listener() -> Result<net::TcpListener> {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
        .change_context(bench_error::BenchError::Start)?;
    listener
        .set_nonblocking(true)
        .change_context(bench_error::BenchError::Start)?;
    Ok(listener)
}

fn addr_of(listener: &net::TcpListener) -> Result<net::SocketAddr> {
    listener
        .local_addr()
        .change_context(bench_error::BenchError::Start)
}
