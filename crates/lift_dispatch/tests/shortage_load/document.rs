//! Routes, workspaces and servers of a deployment.

use std::{net, sync, time};

use lift_dispatch::Backend;

use super::{deployment, engine};

pub(crate) fn table(deployment: &deployment::Deployment) -> lift_fleet::RoutingTable {
    let mut table = lift_fleet::RoutingTable::builder(1).service(lift_fleet::Service {
        name: String::from("m"),
        max_connections: 0,
        warmup: None,
        engine: None,
        origin: None,
    });
    for (i, kind) in deployment.kinds.iter().enumerate() {
        table = table.route(lift_fleet::Route {
            name: format!("r{i}"),
            host: format!("h{i}"),
            prefix: String::from("/"),
            kind: lift_fleet::RouteKind::ResumableStream,
            timeout: time::Duration::from_millis(kind.deadline_ms),
            target_latency: time::Duration::from_millis(kind.target_ms),
            target_gap: time::Duration::from_millis(400),
            priority: kind.priority,
            splits: vec![lift_fleet::Split {
                service: String::from("m"),
                weight: 1,
            }],
            max_attempts: 2,
            is_auth_exempt: false,
            allowed_regions: lift_fleet::AllowedRegions::default(),
        });
    }
    for (i, priority) in deployment.workspace_priorities.iter().enumerate() {
        table = table.require_keys().workspace(lift_fleet::Workspace {
            id: format!("w{i}"),
            priority: Some(*priority),
            allowed_regions: lift_fleet::AllowedRegions::default(),
        });
    }
    table.build().unwrap()
}

pub(crate) fn backend(position: usize) -> sync::Arc<Backend> {
    let region = format!("region-{}", position % 3);
    sync::Arc::new(Backend {
        id: format!("s{position}"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 8_000 + position as u16)),
        failure_domain: format!("{region}-1"),
        region: Some(region),
        slots: engine::SLOTS,
        models: Vec::new(),
        is_silent: false,
    })
}

pub(crate) fn position(backend: &Backend) -> usize {
    usize::from(backend.address.port() - 8_000)
}
