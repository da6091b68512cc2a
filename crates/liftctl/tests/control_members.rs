//! Guards against a control host that can't be replaced with `liftctl`, and against changes
//! of members that are lost or counted before the new member has caught up.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[path = "../../lift_node/tests/support/mod.rs"]
mod support;

use std::{fs, net, path, time};

/// Longest wait for a step.
const LIMIT: time::Duration = time::Duration::from_secs(20);

/// Peer, client and admin port of each member.
fn free_ports(members: usize) -> Vec<[net::SocketAddr; 3]> {
    let addrs = support::free_ports(members * 3);
    addrs.chunks(3).map(|c| [c[0], c[1], c[2]]).collect()
}

async fn start(
    dir: &path::Path,
    ports: &[[net::SocketAddr; 3]],
    id: usize,
    start: &str,
) -> lift_node::Node {
    let data = dir.join(format!("member-{id}"));
    fs::create_dir(&data).unwrap();
    let members = (1..=3.max(id)).map(|id| {
        serde_json::json!({"id": id, "peer_addr": ports[id - 1][0], "client_addr": ports[id - 1][1]})
    });
    let settings = serde_json::json!({
        "host": id, "region": "lappi", "failure_domain": "lappi-1", "roles": ["control"],
        "link_keys": {"current": {"id": 1, "file": dir.join("link.key")}},
        "control": {
            "peer_listener": ports[id - 1][0], "client_listener": ports[id - 1][1],
            "admin_listener": ports[id - 1][2], "member": id, "start": start,
            "members": members.collect::<Vec<_>>(), "data_dir": data
        }
    });
    let settings = lift_settings::Settings::parse(&settings.to_string()).unwrap();
    settings.check().unwrap();
    let log = lift_obs::LogConfig::discard();
    lift_node::Node::start(&settings, log).await.unwrap()
}

/// Runs `liftctl` until it exits with `code`.
async fn run_until(servers: &str, args: &str, code: i32) -> serde_json::Value {
    let until = time::Instant::now() + LIMIT;
    loop {
        let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_liftctl"));
        command.args(["--json", "--server", servers]);
        let output = command.args(args.split(' ')).output().await.unwrap();
        if output.status.code() == Some(code) {
            return serde_json::from_slice(&output.stdout).unwrap_or_default();
        }
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            time::Instant::now() < until,
            "{args}: {:?} {text}",
            output.status
        );
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_control_host_is_replaced() {
    let dir = tempfile::tempdir().unwrap();
    fs::write(dir.path().join("link.key"), "3d".repeat(32)).unwrap();
    let ports = free_ports(4);
    let mut nodes = Vec::new();
    for id in 1..=3 {
        nodes.push(start(dir.path(), &ports, id, "new_cluster").await);
    }
    let servers = ports.iter().map(|p| format!("http://{}", p[2]));
    let servers = servers.collect::<Vec<_>>().join(",");

    nodes.push(start(dir.path(), &ports, 4, "join").await);
    let add = format!(
        "control add 4 --peer {} --client {}",
        ports[3][0], ports[3][1]
    );
    run_until(&servers, &add, 0).await;
    run_until(&servers, &add.replace("add 4", "add 1"), 2).await;
    run_until(&servers, "control promote 4", 0).await;
    run_until(&servers, "control remove 1", 0).await;
    nodes.remove(0).stop(LIMIT).await;
    let change = "default set --floor 60 --reason after";
    run_until(&servers, change, 0).await;

    let members = run_until(&servers, "control members", 0).await;
    let ids = members.as_array().unwrap().iter();
    let ids: Vec<_> = ids
        .map(|m| (m["id"].as_u64().unwrap(), m["role"].clone()))
        .collect();
    assert_eq!(ids, [2, 3, 4].map(|id| (id, serde_json::json!("voter"))));
    for node in nodes {
        node.stop(LIMIT).await;
    }
}
