//! Builder of routing tables.

use std::{cmp, sync, time};

use crate::{
    api_key, caller_limits, document_version, route, routing_table, service, table_error, workspace,
};

/// Longest time in a table. No request lasts as long, and multiples of it can be added to the time
/// of a request.
const MAX_TIME: time::Duration = time::Duration::from_secs(24 * 60 * 60);

type Result<T> = std::result::Result<T, table_error::TableError>;

/// Collects services, routes and workspaces, and checks that they are consistent.
#[derive(Clone, Debug)]
pub struct RoutingTableBuilder {
    table: routing_table::RoutingTable,
    routes: Vec<route::Route>,
}

impl RoutingTableBuilder {
    pub(crate) fn new(version: document_version::DocumentVersion) -> Self {
        let table = routing_table::RoutingTable {
            version,
            ..routing_table::RoutingTable::default()
        };
        Self {
            table,
            routes: Vec::new(),
        }
    }

    /// Adds a service. A later one of the same name replaces it. Times of over a day are shortened
    /// to one.
    pub fn service(mut self, mut service: service::Service) -> Self {
        if let Some(warmup) = &mut service.warmup {
            warmup.duration = warmup.duration.min(MAX_TIME);
        }
        let delays = service.engine.iter_mut().flat_map(|e| &mut e.delays);
        delays.for_each(|delay| delay.delay = delay.delay.min(MAX_TIME));
        self.table.services.insert(service.name.clone(), service);
        self
    }

    /// Adds a route, which [`Self::build`] checks. Times of over a day are shortened to one.
    pub fn route(mut self, route: route::Route) -> Self {
        self.routes.push(route::Route {
            timeout: route.timeout.min(MAX_TIME),
            target_latency: route.target_latency.min(MAX_TIME),
            target_gap: route.target_gap.min(MAX_TIME),
            ..route
        });
        self
    }

    /// Requires callers to present an API key, even if no workspace has one.
    pub fn require_keys(mut self) -> Self {
        self.table.keys.get_or_insert_default();
        self
    }

    /// Adds the terms of a workspace. If it is listed more than once, all restrictions bind and the
    /// first priority counts.
    pub fn workspace(mut self, terms: workspace::Workspace) -> Self {
        let workspaces = &mut self.table.workspaces;
        let merged = match workspaces.get(&terms.id) {
            Some(first) => workspace::Workspace {
                allowed_regions: first.allowed_regions.intersect(&terms.allowed_regions),
                priority: first.priority.or(terms.priority),
                id: terms.id,
            },
            None => terms,
        };
        workspaces.insert(merged.id.clone(), merged);
        self
    }

    /// Adds a key of a workspace.
    ///
    /// # Errors
    ///
    /// Returns [`table_error::TableError::SharedKey`] if another workspace has the key.
    pub fn key(mut self, key: api_key::ApiKey, workspace: lift_types::WorkspaceId) -> Result<Self> {
        let keys = self.table.keys.get_or_insert_default();
        match keys.get(&key) {
            Some(first) if *first != workspace => Err(table_error::TableError::SharedKey {
                first: first.clone(),
                second: workspace,
            }),
            _ => {
                keys.insert(key, workspace);
                Ok(self)
            }
        }
    }

    /// Sets the limits on the requests and connections of callers. Times of over a day are
    /// shortened to one.
    pub fn limits(mut self, limits: caller_limits::CallerLimits) -> Self {
        self.table.limits = caller_limits::CallerLimits {
            head_timeout: limits.head_timeout.min(MAX_TIME),
            idle_timeout: limits.idle_timeout.min(MAX_TIME),
            ..limits
        };
        self
    }

    /// Checks all parts and builds the table.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency found.
    pub fn build(mut self) -> Result<routing_table::RoutingTable> {
        for route in std::mem::take(&mut self.routes) {
            self.check_route(&route)?;
            let routes = self.table.routes.entry(route.host.clone()).or_default();
            routes.push(sync::Arc::new(route));
        }
        for routes in self.table.routes.values_mut() {
            sort_routes(routes)?;
        }
        Ok(self.table)
    }

    fn check_route(&self, route: &route::Route) -> Result<()> {
        let name = || route.name.clone();
        let unknown = route
            .splits
            .iter()
            .find(|split| !self.table.services.contains_key(&split.service));
        if let Some(split) = unknown {
            let service = split.service.clone();
            return Err(table_error::TableError::UnknownService {
                route: name(),
                service,
            });
        }
        if route.splits.iter().all(|split| split.weight == 0) {
            return Err(table_error::TableError::ZeroWeight { route: name() });
        }
        if route.timeout.is_zero() {
            return Err(table_error::TableError::ZeroTimeout { route: name() });
        }
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(table_error::TableError::InvalidPrefix { route: name() });
        }
        Ok(())
    }
}

/// Sorts routes by decreasing length of the prefix and then by its text, which makes equal
/// prefixes adjacent, and checks that no prefix occurs twice.
fn sort_routes(routes: &mut [sync::Arc<route::Route>]) -> Result<()> {
    routes.sort_by_cached_key(|r| (cmp::Reverse(r.prefix.len()), r.prefix.clone()));
    for pair in routes.windows(2) {
        if pair[0].prefix == pair[1].prefix {
            return Err(table_error::TableError::DuplicateRoute {
                first: pair[0].name.clone(),
                second: pair[1].name.clone(),
            });
        }
    }
    Ok(())
}
