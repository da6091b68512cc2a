//! Check of the workspaces.

use crate::{finding, finding_kind, region_check};

/// Looks for workspaces that no request belongs to, or all of whose requests are refused.
pub(crate) fn check(
    table: &lift_fleet::RoutingTable,
    regions: &indexmap::IndexSet<lift_types::RegionId>,
) -> Vec<finding::Finding> {
    let never = finding_kind::FindingKind::NeverMatches;
    let mut findings = Vec::new();
    for terms in table.workspaces() {
        let entry = format!("workspace {}", terms.id);
        let mut add = |problem: String| {
            findings.push(finding::Finding::new(never, &entry, problem));
        };
        if !table.keys().any(|(_, workspace)| *workspace == terms.id) {
            add(String::from("it has no key, so no request belongs to it"));
        }
        let unknown = region_check::unknown(&terms.allowed_regions, regions);
        unknown.into_iter().for_each(&mut add);
        let has_route =
            |route: &lift_fleet::Route| !table.allowed_regions(route, Some(&terms.id)).is_empty();
        if table.route_count() > 0 && !table.routes().any(|route| has_route(route)) {
            add(String::from(
                "no route has an allowed region in common with it",
            ));
        }
    }
    findings
}
