//! Guards against a deployment of three hosts, each with all roles, that does not come up, does
//! not spread a version, or stops answering when one of the hosts leaves.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::{fs, net, path, sync, time};

use http_body_util::BodyExt as _;
use hyper_util::{client::legacy, rt};

/// Longest wait for a step.
const LIMIT: time::Duration = time::Duration::from_secs(30);

/// Ports of each host: the listeners of control, entry and agent.
const PORTS: usize = 8;

struct Host {
    node: lift_node::Node,
    _answers: lift_standin::AnswerEngine,
    _orders: lift_standin::AnswerServer,
}

/// Settings as in the README, with `i` from zero.
fn settings(
    i: usize,
    ports: &[Vec<net::SocketAddr>],
    dir: &path::Path,
    engine: [net::SocketAddr; 2],
    origin: net::SocketAddr,
) -> lift_settings::Settings {
    let all = |port: usize| ports.iter().map(|p| p[port]).collect::<Vec<_>>();
    let data = dir.join(format!("host-{i}"));
    for folder in ["control", "agent"] {
        fs::create_dir_all(data.join(folder)).unwrap();
    }
    let members = ports
        .iter()
        .enumerate()
        .map(|(id, p)| serde_json::json!({"id": id + 1, "peer_addr": p[0], "client_addr": p[1]}));
    let own = &ports[i];
    let settings = serde_json::json!({
        "host": i + 1, "region": "pirkanmaa", "failure_domain": format!("pirkanmaa-{i}"),
        "roles": ["control", "entry", "agent"],
        "link_keys": {"current": {"id": 1, "file": dir.join("link.key")}},
        "control": {
            "peer_listener": own[0], "client_listener": own[1], "member": i + 1,
            "members": members.collect::<Vec<_>>(), "data_dir": data.join("control"),
            "lease_ms": 10_000
        },
        "entry": {
            "caller_listener": own[2], "admin_listener": own[3], "relay_listener": own[4],
            "heartbeat_listener": own[5], "control_addrs": all(1)
        },
        "agent": {
            "call_listener": own[6], "chunk_listener": own[7], "backend_addr": engine[0],
            "backend_kind": "model", "engine_addr": engine[1], "origin_addr": origin,
            "relay_addrs": all(4), "heartbeat_addrs": all(5), "data_dir": data.join("agent"),
            "services": ["assistant"], "order_limit_ms": 5_000
        }
    });
    let settings = lift_settings::Settings::parse(&settings.to_string()).unwrap();
    settings.check().unwrap();
    settings
}

async fn start(
    i: usize,
    ports: &[Vec<net::SocketAddr>],
    dir: &path::Path,
    origin: net::SocketAddr,
) -> Host {
    let check = lift_standin::EngineTokenCheck::Refuse;
    let orders = lift_standin::EngineOrders::new(check, time::Duration::ZERO);
    let answers = lift_standin::AnswerEngine::start(orders.loaded(), time::Duration::ZERO);
    let answers = answers.await.unwrap();
    let routes = lift_standin::engine_routes(sync::Arc::new(orders));
    let orders = lift_standin::AnswerServer::start(routes).await.unwrap();
    let settings = settings(i, ports, dir, [answers.addr(), orders.addr()], origin);
    let node = lift_node::Node::start(&settings, lift_obs::LogConfig::discard()).await;
    Host {
        node: node.unwrap(),
        _answers: answers,
        _orders: orders,
    }
}

async fn change(host: &Host, expected: lift_types::Revision, edit: lift_state::ChangeEdit) {
    let change = lift_state::ConfigChange {
        id: format!("test-{expected}"),
        expected,
        author: String::from("test"),
        reason: String::from("test"),
        edits: vec![edit],
    };
    let reply = host.node.control().unwrap().change(change).await.unwrap();
    assert!(
        matches!(reply, lift_state::ChangeReply::Accepted { .. }),
        "{reply:?}"
    );
}

/// Sends a request until it is answered by `version`.
async fn answered(host: &Host, version: &str) {
    let client: legacy::Client<_, http_body_util::Full<bytes::Bytes>> =
        legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    let caller = host.node.addrs().caller.unwrap();
    let expected = lift_standin::AnswerText::new(b"plan", 8).whole(version);
    let until = time::Instant::now() + LIMIT;
    loop {
        let req = http::Request::post(format!("http://{caller}/v1/assistant/complete"))
            .header(lift_entry::WORKSPACE_HEADER, "test")
            .body(http_body_util::Full::from("plan"))
            .unwrap();
        let answer = client.request(req).await.unwrap();
        let status = answer.status();
        let body = answer.into_body().collect().await.unwrap().to_bytes();
        if status.is_success() && body == expected.as_bytes() {
            return;
        }
        assert!(time::Instant::now() < until, "{status}: {body:?}");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn three_hosts_serve_and_one_may_leave() {
    let dir = tempfile::tempdir().unwrap();
    let dir = dir.path();
    fs::write(dir.join("link.key"), "6e".repeat(32)).unwrap();
    let origin = lift_standin::OriginStandin::start().await.unwrap();
    let ports: Vec<_> = support::free_ports(3 * PORTS)
        .chunks(PORTS)
        .map(<[_]>::to_vec)
        .collect();
    let addr = origin.local_addr();
    let hosts = (0..3).map(|i| start(i, &ports, dir, addr));
    let mut hosts = futures_util::future::join_all(hosts).await;

    let mut default = lift_types::PolicyDefault::default();
    let service = lift_types::ServicePolicy {
        kind: lift_types::ServiceKind::Model,
        methods: [(
            String::from("complete"),
            lift_types::Idempotency::Idempotent,
        )]
        .into_iter()
        .collect(),
    };
    default.services.insert(String::from("assistant"), service);
    change(&hosts[0], 0, lift_state::ChangeEdit::SetDefault(default)).await;
    let weights = bytes::Bytes::from(vec![7; 1_000_000]);
    let manifest = origin.publish("v1", weights, 65_536);
    hosts[1]
        .node
        .control()
        .unwrap()
        .publish(manifest)
        .await
        .unwrap();
    let edit = lift_state::ChangeEdit::SetDefaultVersion(String::from("v1"));
    change(&hosts[2], 1, edit).await;
    let until = time::Instant::now() + LIMIT;
    while hosts.iter().any(|host| {
        let agents = host.node.live_agents();
        agents
            .iter()
            .filter(|agent| agent.serving.is_some())
            .count()
            < 3
    }) {
        assert!(time::Instant::now() < until, "not all replicas serve");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    for host in &hosts {
        answered(host, "v1").await;
    }

    let report = hosts.remove(0).node.stop(LIMIT).await;
    assert_eq!(report.cut_off, 0);
    for host in &hosts {
        answered(host, "v1").await;
    }
    let edit = lift_state::ChangeEdit::AddException {
        id: String::from("hold"),
        scope: lift_types::Scope::Region(String::from("pirkanmaa")),
        value: lift_types::ExceptionValue::ActivationFloorPercent(60),
        reason: String::from("one host is gone"),
    };
    change(&hosts[1], 2, edit).await;
    for host in hosts {
        host.node.stop(LIMIT).await;
    }
}
