//! Guards against settings that are accepted although they can't work, and against messages
//! that do not name the field at fault.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{fs, path};

use proptest::prelude::*;

/// Settings with all roles that `check` accepts, with files in `dir`.
fn good(dir: &path::Path) -> serde_json::Value {
    fs::write(dir.join("link.key"), "11".repeat(32)).unwrap();
    fs::write(dir.join("short.key"), "11").unwrap();
    serde_json::json!({
        "host": 1, "region": "piedmont", "failure_domain": "piedmont-1",
        "roles": ["entry", "agent", "control"],
        "link_keys": {"current": {"id": 1, "file": dir.join("link.key")}},
        "entry": {
            "caller_listener": "0.0.0.0:7000", "admin_listener": "127.0.0.1:7001",
            "relay_listener": "0.0.0.0:7002", "heartbeat_listener": "0.0.0.0:7003",
            "control_addrs": ["127.0.0.1:7011"]
        },
        "agent": {
            "call_listener": "127.0.0.1:7020", "chunk_listener": "127.0.0.1:7021",
            "backend_addr": "127.0.0.1:8000", "backend_kind": "model",
            "engine_addr": "127.0.0.1:8001", "origin_addr": "127.0.0.1:8002",
            "relay_addrs": ["127.0.0.1:7002"], "heartbeat_addrs": ["127.0.0.1:7003"],
            "data_dir": dir, "services": ["assistant"]
        },
        "control": {
            "peer_listener": "127.0.0.1:7010", "client_listener": "127.0.0.1:7011",
            "member": 1, "data_dir": dir,
            "members": [{"id": 1, "peer_addr": "127.0.0.1:7010", "client_addr": "127.0.0.1:7011"}]
        }
    })
}

/// Sets the value at a JSON pointer; `null` removes it.
fn set(settings: &mut serde_json::Value, pointer: &str, value: serde_json::Value) {
    let (parent, name) = pointer.rsplit_once('/').unwrap();
    match settings.pointer_mut(parent).unwrap() {
        serde_json::Value::Object(fields) if value.is_null() => drop(fields.shift_remove(name)),
        serde_json::Value::Object(fields) => drop(fields.insert(String::from(name), value)),
        serde_json::Value::Array(items) => items[name.parse::<usize>().unwrap()] = value,
        _ => panic!("{parent} has no fields"),
    }
}

fn load(dir: &path::Path, settings: &serde_json::Value) -> Result<(), String> {
    let file = dir.join("settings.json");
    fs::write(&file, settings.to_string()).unwrap();
    let loaded = lift_settings::Settings::load(&file);
    loaded
        .map(drop)
        .map_err(|e| e.current_context().to_string())
}

#[test]
fn each_fault_is_named() {
    use serde_json::json;
    let dir = tempfile::tempdir().unwrap();
    let dir = dir.path();
    assert_eq!(load(dir, &good(dir)), Ok(()));
    let cases = [
        ("/colour", json!(1), "colour: unknown field"),
        ("/entry/colour", json!(1), "entry.colour: unknown field"),
        (
            "/entry/limits",
            json!({"x": 1}),
            "entry.limits.x: unknown field",
        ),
        ("/region", json!(null), "(file): missing field `region`"),
        ("/region", json!(""), "region: the name is empty"),
        ("/roles", json!([]), "roles: no role is given"),
        (
            "/roles",
            json!(["cook"]),
            "roles[0]: unknown variant `cook`",
        ),
        (
            "/roles",
            json!(["entry", "entry"]),
            "roles[1]: entry is given twice",
        ),
        (
            "/agent",
            json!(null),
            "agent: the section of a given role is missing",
        ),
        (
            "/log_level",
            json!("loud"),
            "log_level: \"loud\" is not a log level",
        ),
        ("/grace_ms", json!(0), "grace_ms: 0 ms is out of range"),
        (
            "/link_keys/current/file",
            json!("/nowhere"),
            "link_keys.current.file: the key file",
        ),
        (
            "/link_keys/current/file",
            json!(dir.join("short.key")),
            "link_keys.current.file: the",
        ),
        (
            "/link_keys/accepted",
            json!([{"id": 1, "file": dir.join("link.key")}]),
            "link_keys.accepted[0].id: number 1 is used twice",
        ),
        (
            "/entry/caller_listener",
            json!("here"),
            "entry.caller_listener: invalid socket address",
        ),
        (
            "/entry/admin_listener",
            json!("0.0.0.0:7001"),
            "entry.admin_listener: 0.0.0.0:7001 is",
        ),
        (
            "/entry/relay_listener",
            json!("0.0.0.0:7000"),
            "entry.relay_listener: port 7000 is",
        ),
        (
            "/agent/call_listener",
            json!("127.0.0.1:7003"),
            "agent.call_listener: port 7003 is",
        ),
        (
            "/agent/call_listener",
            json!("0.0.0.0:7020"),
            "agent.call_listener: other nodes",
        ),
        (
            "/entry/control_addrs",
            json!([]),
            "entry.control_addrs: no address is given",
        ),
        (
            "/entry/control_addrs/0",
            json!("1.2.3.4"),
            "entry.control_addrs[0]: invalid socket",
        ),
        (
            "/entry/admin_token_file",
            json!("/nowhere"),
            "entry.admin_token_file: /nowhere can't",
        ),
        (
            "/entry/tls",
            json!({"certificate": dir, "key": dir}),
            "entry.tls.certificate: ",
        ),
        (
            "/agent/engine_addr",
            json!(null),
            "agent.engine_addr: a model engine needs it",
        ),
        (
            "/agent/origin_addr",
            json!(null),
            "agent.origin_addr: a model engine needs it",
        ),
        (
            "/agent/services",
            json!([]),
            "agent.services: no service is given",
        ),
        (
            "/agent/upload_bytes_per_s",
            json!(0),
            "agent.upload_bytes_per_s: the limit is 0",
        ),
        (
            "/agent/data_dir",
            json!("/nowhere"),
            "agent.data_dir: there is no folder",
        ),
        (
            "/control/data_dir",
            json!("/nowhere"),
            "control.data_dir: there is no folder",
        ),
        (
            "/control/member",
            json!(9),
            "control.members: the list lacks this node, member 9",
        ),
        (
            "/control/members/0/peer_addr",
            json!("127.0.0.1:1"),
            "control.members[0].peer_addr: port 1 is not",
        ),
        (
            "/control/lease_ms",
            json!(20),
            "control.lease_ms: 20 ms is out of range",
        ),
        (
            "/agent/order_limit_ms",
            json!(15_001),
            "agent.order_limit_ms: 15001 ms is out of range",
        ),
    ];
    for (pointer, value, expected) in cases {
        let mut settings = good(dir);
        set(&mut settings, pointer, value);
        let problem = load(dir, &settings).expect_err(pointer);
        assert!(problem.starts_with(expected), "{pointer}: {problem}");
        assert!(problem.contains("; allowed: "), "{pointer}: {problem}");
        assert!(!problem.contains('\n'), "{pointer}: {problem}");
    }
}

/// Guards against a reference page that lacks a field or tells an old default.
#[test]
fn reference_page_matches_types() {
    let file = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/operate/settings.md"
    );
    let page = fs::read_to_string(file).unwrap();
    assert!(
        page == lift_settings::reference(),
        "run `cargo run -p lift_settings --example settings_reference > docs/operate/settings.md`"
    );
}

fn any_json() -> impl Strategy<Value = serde_json::Value> {
    let leaf = prop_oneof![
        Just(serde_json::Value::Null),
        any::<bool>().prop_map(serde_json::Value::from),
        any::<i64>().prop_map(serde_json::Value::from),
        ".{0,12}".prop_map(serde_json::Value::from),
    ];
    leaf.prop_recursive(3, 24, 6, |inner| {
        let fields = prop::collection::vec(("[a-z_]{1,10}", inner.clone()), 0..6);
        prop_oneof![
            prop::collection::vec(inner, 0..6).prop_map(serde_json::Value::from),
            fields.prop_map(|fields| serde_json::Value::Object(fields.into_iter().collect())),
        ]
    })
}

proptest! {
    /// Guards against a panic on a file that is not settings at all.
    #[test]
    fn any_json_is_refused_without_panic(value in any_json()) {
        prop_assert!(lift_settings::Settings::parse(&value.to_string()).is_err());
    }

    /// Guards against a panic on settings with one field of a wrong value.
    #[test]
    fn any_field_value_is_handled(value in any_json(), field in 0_usize..32) {
        let dir = tempfile::tempdir().unwrap();
        let mut settings = good(dir.path());
        let section = ["", "/entry", "/agent", "/control"][field % 4];
        let fields = settings.pointer_mut(section).unwrap().as_object_mut().unwrap();
        let name = fields.keys().nth(field / 4 % fields.len()).cloned().unwrap();
        fields.insert(name, value);
        drop(load(dir.path(), &settings));
    }
}
