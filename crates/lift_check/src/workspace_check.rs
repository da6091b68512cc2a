//! Check of the workspaces.

use crate::{finding, finding_kind};

/// Looks for workspaces that no request belongs to, or all of whose requests are refused.
pub(crate) fn check(
    table: &lift_fleet::RoutingTable,
    regions: &indexmap::IndexSet<lift_types::RegionId>,
) -> Vec<finding::Finding> {
    let never = finding_kind::FindingKind::NeverMatches;
    let mut findings = Vec::new();
    for terms in table.workspaces() {
        let entry = format!("workspace {}", terms.id);
        let mut add = |problem: &str| {
            findings.push(finding::Finding::new(never, &entry, String::from(problem)));
        };
        if !table.keys().any(|(_, workspace)| *workspace == terms.id) {
            add("it has no key, so no request belongs to it");
        }
        let allowed = &terms.allowed_regions;
        if !regions.is_empty() && !regions.iter().any(|r| allowed.contains(Some(r))) {
            add("none of its allowed regions is in the fleet");
        }
        let has_route =
            |route: &lift_fleet::Route| !table.allowed_regions(route, Some(&terms.id)).is_empty();
        if table.route_count() > 0 && !table.routes().any(|route| has_route(route)) {
            add("no route has an allowed region in common with it");
        }
    }
    findings
}
