//! Decoded configuration.

use std::sync;

use crate::{
    allowed_regions, api_key, caller_limits, document_version, route, routing_table_builder,
    service, workspace,
};

/// Routes, services, workspaces and limits of a configuration document, decoded and checked.
/// Immutable, so that many requests can share it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    pub(crate) version: document_version::DocumentVersion,
    /// Routes by host name, which is in lower case. The longest prefix comes first.
    pub(crate) routes: indexmap::IndexMap<String, Vec<sync::Arc<route::Route>>>,
    pub(crate) services: indexmap::IndexMap<lift_types::ServiceId, service::Service>,
    /// Workspace of each key, or `None` if callers need no keys. If the map is empty, no key
    /// is valid.
    pub(crate) keys: Option<indexmap::IndexMap<api_key::ApiKey, lift_types::WorkspaceId>>,
    /// Terms of the workspaces that have any.
    pub(crate) workspaces: indexmap::IndexMap<lift_types::WorkspaceId, workspace::Workspace>,
    pub(crate) limits: caller_limits::CallerLimits,
}

impl RoutingTable {
    /// Returns a builder for the table of document version `version`.
    pub fn builder(
        version: document_version::DocumentVersion,
    ) -> routing_table_builder::RoutingTableBuilder {
        routing_table_builder::RoutingTableBuilder::new(version)
    }

    /// Version of the document.
    pub fn version(&self) -> document_version::DocumentVersion {
        self.version
    }

    /// Finds the route of a host name and path: the one with the longest matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&sync::Arc<route::Route>> {
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<&service::Service> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &service::Service> {
        self.services.values()
    }

    /// Whether callers need an API key, except on routes that are exempt.
    pub fn is_key_required(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the workspace of a key.
    pub fn workspace(&self, key: &str) -> Option<&lift_types::WorkspaceId> {
        self.keys.as_ref()?.get(key)
    }

    /// Returns the terms of a workspace. `None` if it has none.
    pub fn workspace_terms(&self, id: &str) -> Option<&workspace::Workspace> {
        self.workspaces.get(id)
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &sync::Arc<route::Route>> {
        self.routes.values().flatten()
    }

    /// Returns the terms of all workspaces that have any.
    pub fn workspaces(&self) -> impl Iterator<Item = &workspace::Workspace> {
        self.workspaces.values()
    }

    /// Returns all keys with their workspaces.
    pub fn keys(&self) -> impl Iterator<Item = (&api_key::ApiKey, &lift_types::WorkspaceId)> {
        self.keys.iter().flatten()
    }

    /// Priority of each workspace, `None` where the document sets none.
    pub fn workspace_priorities(&self) -> impl Iterator<Item = Option<u32>> {
        let with_keys = self.keys.iter().flat_map(|keys| keys.values());
        let without_terms = with_keys.filter(|id| !self.workspaces.contains_key(*id));
        let terms = self.workspaces.values();
        terms
            .map(|terms| terms.priority)
            .chain(without_terms.map(|_| None))
    }

    /// Regions in which a request on `route` from `workspace` may run: both bind.
    pub fn allowed_regions(
        &self,
        route: &route::Route,
        workspace: Option<&str>,
    ) -> allowed_regions::AllowedRegions {
        let terms = workspace.and_then(|id| self.workspace_terms(id));
        match terms {
            Some(terms) => route.allowed_regions.intersect(&terms.allowed_regions),
            None => route.allowed_regions.clone(),
        }
    }

    /// Limits on the requests and connections of callers.
    pub fn limits(&self) -> &caller_limits::CallerLimits {
        &self.limits
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
