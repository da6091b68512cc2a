//! Scope of an exception.

use std::{fmt, str};

use crate::{
    failure_domain_id, host_id, location, region_id, scope_error, service_id, workspace_id,
};

/// Part of the fleet that an exception applies to. Its text form is `kind:name`,
/// for example `region:piedmont`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// All hosts of a region.
    Region(region_id::RegionId),
    /// All hosts of a failure domain.
    FailureDomain(failure_domain_id::FailureDomainId),
    /// One host.
    Host(host_id::HostId),
    /// All requests of a workspace.
    Workspace(workspace_id::WorkspaceId),
    /// All requests to a service.
    Service(service_id::ServiceId),
}

impl Scope {
    /// Returns how specific the scope is for a host at `location`: 3 for a host, 2 for a failure
    /// domain and 1 for a region. Returns `None` if the scope does not cover the host; scopes
    /// of workspaces and services cover no hosts.
    pub fn specificity(&self, location: &location::Location) -> Option<u8> {
        match self {
            Self::Region(region) => (*region == location.region).then_some(1),
            Self::FailureDomain(domain) => (*domain == location.failure_domain).then_some(2),
            Self::Host(host) => (*host == location.host).then_some(3),
            Self::Workspace(_) | Self::Service(_) => None,
        }
    }
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Region(name) => write!(f, "region:{name}"),
            Self::FailureDomain(name) => write!(f, "failure-domain:{name}"),
            Self::Host(host) => write!(f, "host:{host}"),
            Self::Workspace(name) => write!(f, "workspace:{name}"),
            Self::Service(name) => write!(f, "service:{name}"),
        }
    }
}

impl str::FromStr for Scope {
    type Err = scope_error::ScopeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Some((kind, name)) = text.split_once(':') else {
            return Err(scope_error::ScopeError::new(text));
        };
        if name.is_empty() {
            return Err(scope_error::ScopeError::new(text));
        }
        match kind {
            "region" => Ok(Self::Region(String::from(name))),
            "failure-domain" => Ok(Self::FailureDomain(String::from(name))),
            "workspace" => Ok(Self::Workspace(String::from(name))),
            "service" => Ok(Self::Service(String::from(name))),
            "host" => name
                .parse()
                .map(Self::Host)
                .map_err(|_| scope_error::ScopeError::new(text)),
            _ => Err(scope_error::ScopeError::new(text)),
        }
    }
}
