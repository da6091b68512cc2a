//! Guards against mistakes in a document that nobody sees before it is in force, and against
//! remarks on documents that are right.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time;

use lift_check::{Change, FindingKind};
use lift_fleet::{
    AllowedRegions, CallerLimits, EngineSpec, Route, RouteKind, RoutingTable, Service, Split,
    Warmup, Workspace,
};

const MS: time::Duration = time::Duration::from_millis(1);

fn regions(names: &[&str]) -> AllowedRegions {
    AllowedRegions::new(names.iter().copied().map(String::from))
}

fn service() -> Service {
    Service {
        name: String::from("s"),
        max_connections: 100,
        warmup: None,
        engine: None,
        origin: None,
    }
}

fn route() -> Route {
    Route {
        name: String::from("a"),
        host: String::from("h"),
        prefix: String::from("/x/"),
        kind: RouteKind::Idempotent,
        timeout: 1_000 * MS,
        target_latency: 100 * MS,
        target_gap: 300 * MS,
        priority: 1,
        splits: vec![Split {
            service: String::from("s"),
            weight: 1,
        }],
        max_attempts: 2,
        is_auth_exempt: false,
        allowed_regions: regions(&[]),
    }
}

fn workspace() -> Workspace {
    Workspace {
        id: String::from("w"),
        ..Workspace::default()
    }
}

fn table(version: u64, route: Route, service: Service, workspace: Workspace) -> RoutingTable {
    let id = workspace.id.clone();
    RoutingTable::builder(version)
        .service(service)
        .route(route)
        .workspace(workspace)
        .key(String::from("secret-1"), id)
        .unwrap()
        .build()
        .unwrap()
}

fn findings(table: &RoutingTable) -> Vec<(FindingKind, String)> {
    let fleet = indexmap::IndexSet::from([String::from("north"), String::from("south")]);
    let found = lift_check::check(table, &fleet);
    found.into_iter().map(|f| (f.kind, f.entry)).collect()
}

#[test]
fn a_document_without_mistakes_has_no_finding() {
    assert_eq!(findings(&table(1, route(), service(), workspace())), vec![]);
}

#[test]
fn routes_that_never_match_are_found() {
    let in_query = Route {
        prefix: String::from("/x?y/"),
        ..route()
    };
    let with_port = Route {
        host: String::from("h:80"),
        ..route()
    };
    let elsewhere = Route {
        allowed_regions: regions(&["east"]),
        ..route()
    };
    let misspelt = Route {
        allowed_regions: regions(&["north", "suoth"]),
        ..route()
    };
    for route in [in_query, with_port, elsewhere, misspelt] {
        let table = table(1, route, service(), workspace());
        let expected = (FindingKind::NeverMatches, String::from("route a"));
        assert!(findings(&table).contains(&expected), "{table:?}");
    }
}

#[test]
fn a_workspace_whose_regions_no_route_allows_is_found() {
    let north = Route {
        allowed_regions: regions(&["north"]),
        ..route()
    };
    let south = Workspace {
        allowed_regions: regions(&["south"]),
        ..workspace()
    };
    let found = findings(&table(1, north, service(), south));
    assert_eq!(
        found,
        [(FindingKind::NeverMatches, String::from("workspace w"))]
    );
}

#[test]
fn limits_that_contradict_each_other_are_found() {
    let late = Route {
        target_latency: 2_000 * MS,
        ..route()
    };
    let repeated = Route {
        kind: RouteKind::NonIdempotent,
        ..route()
    };
    for route in [late, repeated] {
        let found = findings(&table(1, route, service(), workspace()));
        assert_eq!(
            found,
            [(FindingKind::Contradiction, String::from("route a"))]
        );
    }
    let never_cold = Service {
        warmup: Some(Warmup {
            duration: time::Duration::ZERO,
            requests_per_s: Some(8.0),
        }),
        ..service()
    };
    let crowded = Service {
        engine: Some(EngineSpec {
            slots: 200,
            ..EngineSpec::default()
        }),
        ..service()
    };
    for service in [never_cold, crowded] {
        let found = findings(&table(1, route(), service, workspace()));
        assert_eq!(
            found,
            [(FindingKind::Contradiction, String::from("service s"))]
        );
    }
    let limits = CallerLimits {
        head_timeout: 30_000 * MS,
        idle_timeout: 10_000 * MS,
        ..CallerLimits::default()
    };
    let table = RoutingTable::builder(1).limits(limits).build().unwrap();
    assert_eq!(
        findings(&table),
        [(FindingKind::Contradiction, String::from("limits"))]
    );
}

#[test]
fn differences_name_what_changes_and_show_no_key() {
    let before = table(1, route(), service(), workspace());
    let other = Route {
        timeout: 900 * MS,
        ..route()
    };
    let after = RoutingTable::builder(2)
        .service(service())
        .route(other)
        .workspace(workspace())
        .key(String::from("secret-2"), String::from("w"))
        .unwrap()
        .build()
        .unwrap();
    let differences = lift_check::compare(&before, &after);
    let entries: Vec<_> = differences
        .iter()
        .map(|d| (d.entry.as_str(), d.change))
        .collect();
    let expected = [
        ("document", Change::Changed),
        ("route a (h/x/)", Change::Changed),
        ("keys of workspace w", Change::Changed),
    ];
    assert_eq!(entries, expected);
    assert_eq!(differences[0].detail, "version: 1 -> 2");
    assert_eq!(differences[1].detail, "timeout: 1s -> 900ms");
    assert!(!format!("{differences:?}").contains("secret"));
    assert_eq!(lift_check::compare(&before, &before), vec![]);
}
