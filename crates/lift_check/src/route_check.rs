//! Check of a route.

use crate::{finding, finding_kind, region_check};

/// Characters that end the path of a request, or that a path never holds as they are.
const NOT_IN_PATHS: [char; 4] = ['?', '#', ' ', '\\'];

/// Looks for what makes the route useless or contradicts itself.
pub(crate) fn check(
    table: &lift_fleet::RoutingTable,
    route: &lift_fleet::Route,
    regions: &indexmap::IndexSet<lift_types::RegionId>,
) -> Vec<finding::Finding> {
    let never = finding_kind::FindingKind::NeverMatches;
    let contradiction = finding_kind::FindingKind::Contradiction;
    let problems = never_matches(table, route, regions);
    let problems = problems.into_iter().map(|problem| (never, problem));
    let contradictions = contradictions(route);
    let contradictions = contradictions.into_iter().map(|p| (contradiction, p));
    let entry = format!("route {}", route.name);
    let found = problems.chain(contradictions);
    found
        .map(|(kind, problem)| finding::Finding::new(kind, &entry, problem))
        .collect()
}

fn never_matches(
    table: &lift_fleet::RoutingTable,
    route: &lift_fleet::Route,
    regions: &indexmap::IndexSet<lift_types::RegionId>,
) -> Vec<String> {
    let mut problems = Vec::new();
    if route.host.is_empty() || route.host.contains([':', '/', ' ', '*']) {
        problems.push(format!("no request names the host {:?}", route.host));
    }
    if route.prefix.contains(NOT_IN_PATHS) {
        problems.push(format!("no path begins with {:?}", route.prefix));
    }
    for split in &route.splits {
        if split.weight == 0 {
            problems.push(format!(
                "service {} gets no request: its weight is 0",
                split.service
            ));
        }
        let service = table.service(&split.service);
        if service.is_some_and(|service| service.origin.is_some()) {
            problems.push(format!(
                "service {} provides weights and has no backend servers",
                split.service
            ));
        }
    }
    problems.extend(region_check::unknown(&route.allowed_regions, regions));
    let needs_key = table.is_key_required() && !route.is_auth_exempt;
    if needs_key && table.keys().next().is_none() {
        problems.push(String::from("it needs a key, and no workspace has one"));
    }
    problems
}

fn contradictions(route: &lift_fleet::Route) -> Vec<String> {
    let mut problems = Vec::new();
    if route.target_latency > route.timeout {
        problems.push(format!(
            "the target latency of {:?} is longer than the timeout of {:?}",
            route.target_latency, route.timeout
        ));
    }
    if route.kind.is_stream() && route.target_gap > route.timeout {
        problems.push(format!(
            "the longest pause of {:?} is longer than the timeout of {:?}",
            route.target_gap, route.timeout
        ));
    }
    if route.max_attempts == 0 {
        problems.push(String::from("it allows no attempt"));
    }
    if route.max_attempts > 1 && !route.kind.is_repeatable() {
        problems.push(format!(
            "it allows {} attempts, but its requests must not run more than once",
            route.max_attempts
        ));
    }
    problems
}
