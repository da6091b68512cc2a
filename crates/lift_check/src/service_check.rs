//! Check of a service.

use crate::{finding, finding_kind};

/// Looks for what makes the service useless or contradicts itself.
pub(crate) fn check(
    table: &lift_fleet::RoutingTable,
    service: &lift_fleet::Service,
) -> Vec<finding::Finding> {
    let entry = format!("service {}", service.name);
    let mut findings = Vec::new();
    let is_routed = table
        .routes()
        .any(|route| route.splits.iter().any(|s| s.service == service.name));
    if !is_routed && service.origin.is_none() {
        let kind = finding_kind::FindingKind::Unused;
        let problem = String::from("no route leads to it");
        findings.push(finding::Finding::new(kind, &entry, problem));
    }
    for problem in contradictions(service) {
        let kind = finding_kind::FindingKind::Contradiction;
        findings.push(finding::Finding::new(kind, &entry, problem));
    }
    findings
}

fn contradictions(service: &lift_fleet::Service) -> Vec<String> {
    let mut problems = Vec::new();
    if let Some(warmup) = service.warmup
        && warmup.duration.is_zero()
        && warmup.requests_per_s.is_some()
    {
        problems.push(String::from(
            "cold servers have a limit on requests, but they are cold for no time",
        ));
    }
    let Some(engine) = &service.engine else {
        return problems;
    };
    let connections = service.max_connections;
    if connections > 0 && connections < engine.slots {
        problems.push(format!(
            "a server has {} slots, but accepts {connections} connections only",
            engine.slots
        ));
    }
    if (engine.pieces == 0) != (engine.piece_bytes == 0) {
        problems.push(format!(
            "its weights have {} pieces of {} bytes",
            engine.pieces, engine.piece_bytes
        ));
    }
    problems
}
