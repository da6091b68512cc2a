//! Settings of a fleet.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::fs;

/// Settings as the template of `deploy/settings.json` renders them for a control host.
const RENDERED: &str = r#"{
  "control": { "listener": "10.1.0.42:8000", "data_dir": "/data/control" },
  "memory_mb": 256,
  "bounds": { "heartbeat_ms": 1200, "revoke_ms": 5000, "evacuate_ms": 4800, "weights_ms": 8000,
    "repeat_share": 0.2, "repeat_burst": 104, "grace_s": 8 },
  "failure_domains": { "delta-east-a": "delta-east", "plateau-a": "plateau" },
  "seeds": [ "10.1.0.42:8000", "10.2.0.39:8000" ],
  "first_start": true,
  "node": "core-delta-east-a-1", "ip": "10.1.0.42", "region": "delta-east",
  "failure_domain": "delta-east-a", "ports": [7700, 7715], "links": "open",
  "log_level": "info"
}"#;

fn problem(text: &str) -> String {
    let settings = lift_settings::FleetSettings::parse(text);
    let checked = settings.and_then(|settings| settings.check());
    checked.unwrap_err().current_context().to_string()
}

#[test]
fn rendered_settings_are_accepted() {
    let settings = lift_settings::FleetSettings::parse(RENDERED).unwrap();
    settings.check().unwrap();
    assert_eq!(settings.grace().as_secs(), 8);
    assert!(settings.first_start);
    assert_eq!(settings.bounds.evacuate_ms, Some(4_800));
    assert_eq!(settings.failure_domains["plateau-a"], "plateau");
}

#[test]
fn the_field_at_fault_is_named() {
    let cases = [
        ("[7700, 7715]", "[7700, 7702]", "ports"),
        ("[7700, 7715]", "[7715, 7700]", "ports"),
        ("[ \"10.1.0.42:8000\", \"10.2.0.39:8000\" ]", "[]", "seeds"),
        ("\"10.2.0.39:8000\"", "\"core\"", "seeds[1]"),
        ("\"grace_s\": 8", "\"grace_s\": 0", "bounds.grace_s"),
        (
            "\"revoke_ms\": 5000",
            "\"revoke_ms\": 1",
            "bounds.revoke_ms",
        ),
        (
            "\"evacuate_ms\": 4800",
            "\"evacuate_ms\": 0",
            "bounds.evacuate_ms",
        ),
        (
            "\"repeat_share\": 0.2",
            "\"repeat_share\": -1",
            "bounds.repeat_share",
        ),
        ("\"links\": \"open\"", "\"links\": \"shut\"", "links"),
        ("\"control\":", "\"contrl\":", "contrl"),
    ];
    for (from, to, field) in cases {
        assert!(RENDERED.contains(from), "{from}");
        let problem = problem(&RENDERED.replace(from, to));
        assert!(problem.starts_with(field), "{field}: {problem}");
        assert!(problem.contains("; allowed: "), "{problem}");
    }
    let without_role = RENDERED.replacen("\"control\": {", "\"agent\": null, \"x\": {", 1);
    assert!(problem(&without_role).contains('x'));
}

/// Guards against a reference page that lacks a field or tells an old default.
#[test]
fn fleet_reference_page_matches_types() {
    let file = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/operate/fleet-settings.md"
    );
    let page = fs::read_to_string(file).unwrap();
    assert!(
        page == lift_settings::fleet_reference(),
        "run `cargo run -p lift_settings --example fleet_settings_reference > {file}`"
    );
}
