//! Guards against requests that use the wrong route or workspace, and against acceptance of
//! inconsistent configurations.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time;

use lift_fleet::{Route, RouteKind, RoutingTable, RoutingTableBuilder, Service, Split, TableError};

fn service(name: &str) -> Service {
    Service {
        name: String::from(name),
        max_connections: 0,
        warmup: None,
        engine: None,
        origin: None,
    }
}

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: String::from(name),
        host: String::from(host),
        prefix: String::from(prefix),
        kind: RouteKind::Idempotent,
        timeout: time::Duration::from_secs(1),
        target_latency: time::Duration::from_millis(100),
        target_gap: time::Duration::from_millis(100),
        priority: 1,
        splits: vec![Split {
            service: String::from("s"),
            weight: 1,
        }],
        max_attempts: 1,
        is_auth_exempt: false,
        allowed_regions: lift_fleet::AllowedRegions::default(),
    }
}

/// Allowed regions of a table whose only workspace is listed with each of `lists`.
fn listed_twice(lists: [&[&str]; 2]) -> lift_fleet::AllowedRegions {
    let mut table = builder();
    for list in lists {
        table = table.workspace(lift_fleet::Workspace {
            id: String::from("w"),
            priority: None,
            allowed_regions: lift_fleet::AllowedRegions::new(
                list.iter().copied().map(String::from),
            ),
        });
    }
    let table = table.build().unwrap();
    table.workspace_terms("w").unwrap().allowed_regions.clone()
}

#[test]
fn a_workspace_that_is_listed_twice_keeps_its_restrictions() {
    // Guards against a second entry without regions that lifts those of the first one.
    let kept = listed_twice([&["a", "b"], &[]]);
    assert!(kept.contains(Some("a")) && !kept.contains(Some("c")));
    let common = listed_twice([&["a", "b"], &["b", "c"]]);
    assert!(common.contains(Some("b")) && !common.contains(Some("a")));
}

fn builder() -> RoutingTableBuilder {
    RoutingTable::builder(7).service(service("s"))
}

#[test]
fn the_longest_prefix_wins() {
    let table = builder()
        .route(route("short", "h", "/a/"))
        .route(route("long", "h", "/a/b/"))
        .build()
        .unwrap();
    let found = |host, path| table.find(host, path).map(|r| r.name.clone());
    assert_eq!(found("h", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(found("H", "/a/bc").as_deref(), Some("short"));
    assert_eq!(found("h", "/a"), None);
    assert_eq!(found("other", "/a/b/"), None);
}

#[test]
fn inconsistent_routes_are_rejected() {
    // Guards against acknowledging an invalid configuration.
    let mut unknown = route("r", "h", "/a/");
    unknown.splits[0].service = String::from("nobody");
    let rejection = |route| builder().route(route).build().unwrap_err();
    assert!(matches!(
        rejection(unknown),
        TableError::UnknownService { .. }
    ));
    let mut zero_weight = route("r", "h", "/a/");
    zero_weight.splits[0].weight = 0;
    assert!(matches!(
        rejection(zero_weight),
        TableError::ZeroWeight { .. }
    ));
    let mut zero_timeout = route("r", "h", "/a/");
    zero_timeout.timeout = time::Duration::ZERO;
    assert!(matches!(
        rejection(zero_timeout),
        TableError::ZeroTimeout { .. }
    ));
    assert!(matches!(
        rejection(route("r", "h", "a/")),
        TableError::InvalidPrefix { .. }
    ));
    let duplicate = builder()
        .route(route("r1", "h", "/a/"))
        .route(route("r2", "h", "/b/"))
        .route(route("r3", "h", "/a/"))
        .build();
    assert!(matches!(duplicate, Err(TableError::DuplicateRoute { .. })));
}

#[test]
fn a_key_belongs_to_one_workspace() {
    // Guards against requests that run for the wrong workspace.
    let key = |builder: RoutingTableBuilder, key: &str, workspace: &str| {
        builder.key(String::from(key), String::from(workspace))
    };
    let table = key(builder(), "k1", "w1").unwrap();
    assert!(matches!(
        key(table.clone(), "k1", "w2"),
        Err(TableError::SharedKey { .. })
    ));
    let table = key(table, "k1", "w1").unwrap().build().unwrap();
    assert_eq!(table.workspace("k1").map(String::as_str), Some("w1"));
    assert_eq!(table.workspace("k2"), None);
}

#[test]
fn an_empty_list_of_keys_still_requires_keys() {
    // Guards against open access after the last key has been removed.
    let table = builder().require_keys().build().unwrap();
    assert!(table.is_key_required());
    assert!(!builder().build().unwrap().is_key_required());
}

#[test]
fn requests_are_split_in_proportion_to_the_weights() {
    let mut route = route("r", "h", "/a/");
    route.splits = ["a", "b", "c"]
        .iter()
        .zip([3, 0, 1])
        .map(|(name, weight)| Split {
            service: String::from(*name),
            weight,
        })
        .collect();
    let mut counts = [0_u64; 3];
    let draws = 4_000;
    for i in 0..draws {
        let draw = (u64::from(u32::MAX) * i / draws) as u32;
        let chosen = route.choose_service(draw).unwrap();
        counts[usize::from(chosen.as_bytes()[0] - b'a')] += 1;
    }
    assert_eq!(counts[1], 0);
    assert!(counts[0].abs_diff(3_000) <= 2, "{counts:?}");
    assert!(route.choose_service(u32::MAX).is_some());
}
