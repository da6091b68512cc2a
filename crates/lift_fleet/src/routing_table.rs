//! Routes, services and workspaces in force.

use std::sync;

use crate::{api_key, caller_limits, document_version, route, routing_table_builder, service};

/// A configuration document, decoded and checked. It is read by many requests and never
/// changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    pub(crate) version: document_version::DocumentVersion,
    /// For each host name its routes, the longest prefix first.
    pub(crate) routes: indexmap::IndexMap<String, Vec<sync::Arc<route::Route>>>,
    pub(crate) services: indexmap::IndexMap<lift_types::ServiceId, service::Service>,
    /// Workspace of each key, or `None` where callers need no keys.
    pub(crate) keys: Option<indexmap::IndexMap<api_key::ApiKey, lift_types::WorkspaceId>>,
    pub(crate) limits: caller_limits::CallerLimits,
}

impl RoutingTable {
    /// Collects the parts of a table of version `version`.
    pub fn builder(
        version: document_version::DocumentVersion,
    ) -> routing_table_builder::RoutingTableBuilder {
        routing_table_builder::RoutingTableBuilder::new(version)
    }

    /// Version of the document.
    pub fn version(&self) -> document_version::DocumentVersion {
        self.version
    }

    /// Finds the route of a host name and path: the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&sync::Arc<route::Route>> {
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Finds a service.
    pub fn service(&self, name: &str) -> Option<&service::Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &service::Service> {
        self.services.values()
    }

    /// Whether callers show keys.
    pub fn has_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Workspace of a key.
    pub fn workspace(&self, key: &str) -> Option<&lift_types::WorkspaceId> {
        self.keys.as_ref()?.get(key)
    }

    /// What callers may send.
    pub fn limits(&self) -> &caller_limits::CallerLimits {
        &self.limits
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
