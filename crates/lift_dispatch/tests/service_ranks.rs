//! Guards against requests that are ranked by the wrong priority, or at all where none differ.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time;

use lift_dispatch::{Admission, AdmissionTerms, RequestRank, ServiceRanks};

const LONG: time::Duration = time::Duration::from_millis(1_000);
const SHORT: time::Duration = time::Duration::from_millis(400);

/// Ranks of a service with routes of the given priorities and targets, and of workspaces.
fn ranks(routes: &[(u32, time::Duration)], workspaces: &[Option<u32>]) -> ServiceRanks {
    let mut table = lift_fleet::RoutingTable::builder(1).service(lift_fleet::Service {
        name: String::from("s"),
        max_connections: 0,
        warmup: None,
        engine: None,
        origin: None,
    });
    for (i, (priority, target_latency)) in routes.iter().enumerate() {
        table = table.route(lift_fleet::Route {
            name: format!("r{i}"),
            host: String::from("h"),
            prefix: format!("/{i}/"),
            kind: lift_fleet::RouteKind::Idempotent,
            timeout: time::Duration::from_secs(6),
            target_latency: *target_latency,
            target_gap: LONG,
            priority: *priority,
            splits: vec![lift_fleet::Split {
                service: String::from("s"),
                weight: 1,
            }],
            max_attempts: 1,
            is_auth_exempt: false,
            allowed_regions: lift_fleet::AllowedRegions::default(),
        });
    }
    for (i, priority) in workspaces.iter().enumerate() {
        table = table.require_keys().workspace(lift_fleet::Workspace {
            id: format!("w{i}"),
            priority: *priority,
            allowed_regions: lift_fleet::AllowedRegions::default(),
        });
    }
    ServiceRanks::new(&table.build().unwrap())
}

/// Priority that an engine is told, if any.
fn priority(ranks: &ServiceRanks, route: u32, workspace: Option<u32>) -> Option<u8> {
    let place = ranks.place("s", RequestRank::new(route, workspace))?;
    Some(place.engine_priority())
}

#[test]
fn a_service_without_differing_priorities_has_no_ranks() {
    let alike = ranks(&[(2, LONG), (2, SHORT)], &[]);
    assert_eq!(priority(&alike, 2, None), None);
    let alike = ranks(&[(2, LONG), (2, SHORT)], &[Some(1), Some(1)]);
    assert_eq!(priority(&alike, 2, Some(1)), None);
    assert_eq!(priority(&alike, 2, None), None);
}

#[test]
fn the_workspace_goes_before_the_route() {
    let ranks = ranks(&[(0, SHORT), (2, LONG)], &[Some(0), Some(3)]);
    let all = [(0, Some(0)), (2, Some(0)), (0, Some(3)), (2, Some(3))];
    let priorities = all.map(|(route, workspace)| priority(&ranks, route, workspace));
    assert_eq!(priorities, [Some(0), Some(1), Some(2), Some(3)]);
}

#[test]
fn a_workspace_without_priority_takes_that_of_the_route() {
    let ranks = ranks(&[(0, SHORT), (2, LONG)], &[Some(1), None]);
    let all = [(0, None), (0, Some(1)), (2, Some(1)), (2, None)];
    let priorities = all.map(|(route, workspace)| priority(&ranks, route, workspace));
    assert_eq!(priorities, [Some(0), Some(1), Some(2), Some(3)]);
}

#[test]
fn engines_get_no_priority_beyond_nine() {
    let routes: Vec<_> = (0..30).map(|i| (i, SHORT)).collect();
    let ranks = ranks(&routes, &[]);
    assert_eq!(priority(&ranks, 0, None), Some(0));
    assert_eq!(priority(&ranks, 29, None), Some(9));
    assert_eq!(priority(&ranks, u32::MAX, None), Some(9));
}

#[test]
fn a_less_urgent_kind_waits_no_longer_than_an_urgent_one() {
    let ranks = ranks(&[(0, SHORT), (2, LONG)], &[]);
    let place = |route| ranks.place("s", RequestRank::new(route, None));
    let terms = |route, own| AdmissionTerms::new(place(route), own, Admission::Unlimited);
    assert_eq!(terms(2, LONG).target, SHORT);
    assert_eq!(terms(0, SHORT).target, SHORT);
    let unranked = AdmissionTerms::new(None, LONG, Admission::Unlimited);
    assert_eq!(unranked.target, LONG);
    assert!(unranked.queue_share(0.5) > 0.49);
    let limited = AdmissionTerms::new(place(2), LONG, Admission::Limited);
    assert!(limited.queue_share(0.5) < 0.0);
}
