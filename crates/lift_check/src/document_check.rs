//! Check of a whole document.

use crate::{finding, finding_kind, route_check, service_check, workspace_check};

/// Looks for entries that can never match and for limits that contradict each other. `regions` are
/// the regions of the fleet; if it is empty, names of regions are not checked.
pub fn check(
    table: &lift_fleet::RoutingTable,
    regions: &indexmap::IndexSet<lift_types::RegionId>,
) -> Vec<finding::Finding> {
    let mut findings = limits(table);
    for route in table.routes() {
        findings.extend(route_check::check(table, route, regions));
    }
    for service in table.services() {
        findings.extend(service_check::check(table, service));
    }
    findings.extend(workspace_check::check(table, regions));
    findings
}

fn limits(table: &lift_fleet::RoutingTable) -> Vec<finding::Finding> {
    let limits = table.limits();
    let mut findings = Vec::new();
    let mut contradict = |problem: String| {
        let kind = finding_kind::FindingKind::Contradiction;
        findings.push(finding::Finding::new(kind, "limits", problem));
    };
    if limits.head_timeout > limits.idle_timeout {
        contradict(format!(
            "a head may take {:?}, but a connection may be idle for {:?} only",
            limits.head_timeout, limits.idle_timeout
        ));
    }
    for (what, is_zero) in [
        ("the longest head is 0 bytes", limits.head_bytes == 0),
        ("the longest body is 0 bytes", limits.body_bytes == 0),
        ("the time for a head is 0", limits.head_timeout.is_zero()),
        (
            "the time for idle connections is 0",
            limits.idle_timeout.is_zero(),
        ),
    ] {
        if is_zero {
            contradict(format!("{what}, so requests are refused"));
        }
    }
    findings
}
