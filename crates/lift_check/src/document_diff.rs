//! Differences between two documents.

use crate::{change, difference};

/// Lists what is different in `new` from the document that is `in_force`: the document itself, its
/// limits, routes, services, workspaces and keys, in this order.
pub fn compare(
    in_force: &lift_fleet::RoutingTable,
    new: &lift_fleet::RoutingTable,
) -> Vec<difference::Difference> {
    let mut differences = Vec::new();
    differences.extend(entries("", document(in_force), document(new)));
    differences.extend(entries("route", routes(in_force), routes(new)));
    differences.extend(entries("service", services(in_force), services(new)));
    differences.extend(entries("workspace", workspaces(in_force), workspaces(new)));
    differences.extend(keys(in_force, new));
    differences
}

/// Values of the fields of an entry, as an operator reads them.
type Fields = indexmap::IndexMap<&'static str, String>;

type Entries = indexmap::IndexMap<String, Fields>;

fn document(table: &lift_fleet::RoutingTable) -> Entries {
    let document = Fields::from([
        ("version", table.version().to_string()),
        ("needs keys", table.is_key_required().to_string()),
    ]);
    Entries::from([
        (String::from("document"), document),
        (String::from("limits"), limit_fields(table.limits())),
    ])
}

/// Routes by name, host name and prefix, since names may repeat.
fn routes(table: &lift_fleet::RoutingTable) -> Entries {
    let routes = table.routes();
    routes
        .map(|route| {
            let key = format!("{} ({}{})", route.name, route.host, route.prefix);
            (key, route_fields(route))
        })
        .collect()
}

fn route_fields(route: &lift_fleet::Route) -> Fields {
    let splits = route.splits.iter();
    let splits: Vec<_> = splits
        .map(|s| format!("{} {}", s.service, s.weight))
        .collect();
    Fields::from([
        ("kind", format!("{:?}", route.kind)),
        ("timeout", format!("{:?}", route.timeout)),
        ("target latency", format!("{:?}", route.target_latency)),
        ("longest pause", format!("{:?}", route.target_gap)),
        ("priority", route.priority.to_string()),
        ("services", splits.join(", ")),
        ("attempts", route.max_attempts.to_string()),
        ("exempt from keys", route.is_auth_exempt.to_string()),
        ("allowed regions", route.allowed_regions.to_string()),
    ])
}

fn services(table: &lift_fleet::RoutingTable) -> Entries {
    let services = table.services();
    services
        .map(|service| (service.name.clone(), service_fields(service)))
        .collect()
}

fn service_fields(service: &lift_fleet::Service) -> Fields {
    Fields::from([
        ("connections", service.max_connections.to_string()),
        ("warm-up", format!("{:?}", service.warmup)),
        ("engine", format!("{:?}", service.engine)),
        ("origin", format!("{:?}", service.origin)),
    ])
}

fn workspaces(table: &lift_fleet::RoutingTable) -> Entries {
    let workspaces = table.workspaces();
    workspaces
        .map(|terms| (terms.id.clone(), workspace_fields(terms)))
        .collect()
}

fn workspace_fields(terms: &lift_fleet::Workspace) -> Fields {
    let priority = terms.priority.map(|p| p.to_string());
    Fields::from([
        ("priority", priority.unwrap_or_else(|| String::from("none"))),
        ("allowed regions", terms.allowed_regions.to_string()),
    ])
}

fn limit_fields(limits: &lift_fleet::CallerLimits) -> Fields {
    Fields::from([
        ("head bytes", limits.head_bytes.to_string()),
        ("body bytes", limits.body_bytes.to_string()),
        ("time for a head", format!("{:?}", limits.head_timeout)),
        ("idle time", format!("{:?}", limits.idle_timeout)),
    ])
}

/// Compares entries by their names.
fn entries(kind: &str, in_force: Entries, new: Entries) -> Vec<difference::Difference> {
    let mut differences = Vec::new();
    for (name, before) in &in_force {
        let entry = format!("{kind} {name}").trim_start().to_owned();
        match new.get(name) {
            None => differences.push(plain(entry, change::Change::Removed)),
            Some(after) if after != before => differences.push(difference::Difference {
                entry,
                change: change::Change::Changed,
                detail: differing_fields(before, after),
            }),
            Some(_) => {}
        }
    }
    for name in new.keys().filter(|name| !in_force.contains_key(*name)) {
        let entry = format!("{kind} {name}").trim_start().to_owned();
        differences.push(plain(entry, change::Change::Added));
    }
    differences
}

/// Counts the keys that each workspace loses and gains. A key that moves is lost in one and gained
/// in the other.
fn keys(
    in_force: &lift_fleet::RoutingTable,
    new: &lift_fleet::RoutingTable,
) -> Vec<difference::Difference> {
    let mut counts = indexmap::IndexMap::<&lift_types::WorkspaceId, (u32, u32)>::new();
    for (key, workspace) in in_force.keys() {
        if new.workspace(key) != Some(workspace) {
            counts.entry(workspace).or_default().0 += 1;
        }
    }
    for (key, workspace) in new.keys() {
        if in_force.workspace(key) != Some(workspace) {
            counts.entry(workspace).or_default().1 += 1;
        }
    }
    let difference = |(workspace, (lost, gained)): (_, (u32, u32))| difference::Difference {
        entry: format!("keys of workspace {workspace}"),
        change: change::Change::Changed,
        detail: format!("{lost} taken away, {gained} added"),
    };
    counts.into_iter().map(difference).collect()
}

fn plain(entry: String, change: change::Change) -> difference::Difference {
    difference::Difference {
        entry,
        change,
        detail: String::new(),
    }
}

/// Lists the fields with other values.
fn differing_fields(before: &Fields, after: &Fields) -> String {
    let differing = before.iter().filter_map(|(name, value)| {
        let other = after.get(name)?;
        (value != other).then(|| format!("{name}: {value} -> {other}"))
    });
    differing.collect::<Vec<_>>().join("; ")
}
