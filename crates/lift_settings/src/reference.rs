//! Reference page of the settings.

use std::fmt::Write as _;

use crate::{fleet_settings, settings};

const HEAD: &str = "# Settings reference\n\n\
    A node reads one JSON file. Unknown fields are refused. `marjoramlift check --settings FILE`\n\
    tells the first field at fault. Addresses are `IP:PORT`. Relative paths are relative to\n\
    the working directory.\n\n\
    This page is made from the types in `crates/lift_settings` by\n\
    `cargo run -p lift_settings --example settings_reference`, and a test compares the two.\n";

const FLEET_HEAD: &str = "# Fleet settings reference\n\n\
    `marjoramlift fleet` reads one JSON file. Unknown fields are refused.\n\
    `marjoramlift check-fleet --settings FILE` tells the first field at fault. Addresses are\n\
    `IP:PORT`. After SIGHUP, or when the file changes, `seeds` are read again; other fields\n\
    count from the next start.\n\n\
    This page is made from the types in `crates/lift_settings` by\n\
    `cargo run -p lift_settings --example fleet_settings_reference`, and a test compares the two.\n";

/// Writes the reference page in Markdown, one table per section, from the types.
pub fn reference() -> String {
    let schema = schemars::schema_for!(settings::Settings).to_value();
    let sections = [
        ("LinkKeySettings", "link_keys"),
        ("KeyFile", "link_keys.current"),
        ("EntrySettings", "entry"),
        ("TlsSettings", "entry.tls"),
        ("EntryLimits", "entry.limits"),
        ("AgentSettings", "agent"),
        ("ControlSettings", "control"),
        ("ControlMember", "control.members[]"),
    ];
    page(HEAD, &schema, &sections)
}

/// Writes the reference page of the fleet settings in Markdown.
pub fn fleet_reference() -> String {
    let schema = schemars::schema_for!(fleet_settings::FleetSettings).to_value();
    let sections = [
        ("FleetLinks", "links"),
        ("FleetBounds", "bounds"),
        ("FleetGateway", "gateway"),
        ("FleetControl", "control"),
        ("FleetAgent", "agent"),
    ];
    page(FLEET_HEAD, &schema, &sections)
}

fn page(head: &str, schema: &serde_json::Value, sections: &[(&str, &str)]) -> String {
    let mut page = String::from(head);
    write_section(&mut page, "Node", "", schema);
    let definitions = schema.get("$defs").and_then(|d| d.as_object());
    for (name, path) in sections {
        if let Some(definition) = definitions.and_then(|d| d.get(*name)) {
            write_section(&mut page, &format!("`{path}`"), path, definition);
        }
    }
    page
}

fn write_section(page: &mut String, title: &str, path: &str, schema: &serde_json::Value) {
    let _ = write!(page, "\n## {title}\n\n{}\n\n", text(schema));
    page.push_str("| field | type | default | meaning |\n| --- | --- | --- | --- |\n");
    let required = schema.get("required").and_then(|r| r.as_array());
    let Some(fields) = schema.get("properties").and_then(|p| p.as_object()) else {
        return;
    };
    for (name, field) in fields {
        let is_required = required.is_some_and(|r| r.iter().any(|n| n == name));
        let default = match field.get("default") {
            _ if is_required => String::from("required"),
            Some(serde_json::Value::Null) | None => String::from("none"),
            Some(serde_json::Value::Object(_)) => String::from("see below"),
            Some(value) => format!("`{value}`"),
        };
        let path = if path.is_empty() {
            name.clone()
        } else {
            format!("{path}.{name}")
        };
        let kind = kind(field);
        let _ = writeln!(page, "| `{path}` | {kind} | {default} | {} |", text(field));
    }
}

/// Doc comment of a type or field on one line.
fn text(schema: &serde_json::Value) -> String {
    let text = schema.get("description").and_then(|d| d.as_str());
    text.unwrap_or_default().replace('\n', " ")
}

fn kind(field: &serde_json::Value) -> String {
    if let Some(target) = field.get("$ref").and_then(|r| r.as_str()) {
        return named(target);
    }
    for choice in ["anyOf", "allOf", "oneOf"] {
        let first = field.get(choice).and_then(|c| c.get(0));
        if let Some(first) = first {
            return kind(first);
        }
    }
    let name = match field.get("type") {
        Some(serde_json::Value::Array(names)) => names.first().and_then(|n| n.as_str()),
        Some(name) => name.as_str(),
        None => None,
    };
    match name {
        Some("array") => {
            let items = field.get("items").map(kind);
            format!("list of {}", items.unwrap_or_default())
        }
        Some(name) => String::from(name),
        None => String::from("any"),
    }
}

fn named(target: &str) -> String {
    match target.rsplit('/').next().unwrap_or_default() {
        "SocketAddr" => String::from("address"),
        "Role" => String::from("`entry`, `agent` or `control`"),
        "ControlStart" => String::from("`new_cluster` or `join`"),
        "BackendKind" => String::from("`model` or `plain`"),
        _ => String::from("object"),
    }
}
