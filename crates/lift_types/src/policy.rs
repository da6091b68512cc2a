//! Configuration of the fleet that operators change.

use crate::{
    exception_value, idempotency, location, policy_default, policy_exception, priority, revision,
    scope, service_kind, transfer_goal, version_id, workspace_limits,
};

/// Default settings and exceptions at one revision of the configuration. See
/// `docs/design.md`, sections 7 and 9.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Policy {
    /// Revision of the configuration; zero before the first change.
    pub revision: revision::Revision,
    /// Settings that apply where no exception does.
    pub default: policy_default::PolicyDefault,
    /// Exceptions, oldest first.
    pub exceptions: Vec<policy_exception::PolicyException>,
}

impl Policy {
    /// Returns the target version of the host at `location`, or `None` if none is set.
    pub fn version_at(&self, location: &location::Location) -> Option<&version_id::VersionId> {
        let exception_version = self.find_at(location, |value| match value {
            exception_value::ExceptionValue::Version(version) => Some(version),
            _ => None,
        });
        exception_version.or(self.default.version.as_ref())
    }

    /// Returns the exception that sets the target version at `location`, or `None` if the
    /// default applies.
    pub fn version_exception_at(
        &self,
        location: &location::Location,
    ) -> Option<&policy_exception::PolicyException> {
        let matching = self
            .exceptions
            .iter()
            .filter(|e| matches!(e.value, exception_value::ExceptionValue::Version(_)));
        matching
            .filter_map(|e| Some((e.scope.specificity(location)?, e.since, e)))
            .max_by_key(|(specificity, since, _)| (*specificity, *since))
            .map(|(_, _, e)| e)
    }

    /// Returns the percentage of replicas in the failure domain of `location` that must stay in
    /// service while hosts switch versions.
    pub fn activation_floor_percent_at(&self, location: &location::Location) -> u8 {
        let value = self.find_at(location, |value| match value {
            exception_value::ExceptionValue::ActivationFloorPercent(percent) => Some(percent),
            _ => None,
        });
        value
            .copied()
            .unwrap_or(self.default.activation_floor_percent)
    }

    /// Returns whether transfers at `location` save time or origin bytes.
    pub fn transfer_goal_at(&self, location: &location::Location) -> transfer_goal::TransferGoal {
        let value = self.find_at(location, |value| match value {
            exception_value::ExceptionValue::TransferGoal(goal) => Some(goal),
            _ => None,
        });
        value.copied().unwrap_or(self.default.transfer_goal)
    }

    /// Returns the limits of a workspace: those of its newest exception, or the default.
    pub fn limits_of(&self, workspace: &str) -> &workspace_limits::WorkspaceLimits {
        let found = self
            .exceptions
            .iter()
            .rev()
            .find_map(|e| match (&e.scope, &e.value) {
                (
                    scope::Scope::Workspace(name),
                    exception_value::ExceptionValue::Limits(limits),
                ) if name == workspace => Some(limits),
                _ => None,
            });
        found.unwrap_or(&self.default.limits)
    }

    /// Returns the priority of a request. An exception for the workspace takes precedence over
    /// one for the service.
    pub fn priority_of(&self, workspace: &str, service: &str) -> priority::Priority {
        let workspace_priority = self.find_priority(
            |scope| matches!(scope, scope::Scope::Workspace(name) if name == workspace),
        );
        let service_priority = || {
            self.find_priority(
                |scope| matches!(scope, scope::Scope::Service(name) if name == service),
            )
        };
        workspace_priority
            .or_else(service_priority)
            .unwrap_or_default()
    }

    /// Returns the idempotency of a method. A method that the policy does not list is
    /// non-idempotent, and so is each method of an unknown service.
    pub fn idempotency_of(&self, service: &str, method: &str) -> idempotency::Idempotency {
        let found = self
            .exceptions
            .iter()
            .rev()
            .find_map(|e| match (&e.scope, &e.value) {
                (
                    scope::Scope::Service(name),
                    exception_value::ExceptionValue::Method(m, idempotency),
                ) if name == service && m == method => Some(*idempotency),
                _ => None,
            });
        let default_idempotency = || {
            self.default
                .services
                .get(service)?
                .methods
                .get(method)
                .copied()
        };
        found.or_else(default_idempotency).unwrap_or_default()
    }

    /// Returns the kind of a service, or `None` if the policy does not list it.
    pub fn kind_of(&self, service: &str) -> Option<service_kind::ServiceKind> {
        Some(self.default.services.get(service)?.kind)
    }

    fn find_at<'a, T>(
        &'a self,
        location: &location::Location,
        select: impl Fn(&'a exception_value::ExceptionValue) -> Option<&'a T>,
    ) -> Option<&'a T> {
        let matching = self
            .exceptions
            .iter()
            .filter_map(|e| Some((e.scope.specificity(location)?, e.since, select(&e.value)?)));
        matching
            .max_by_key(|(specificity, since, _)| (*specificity, *since))
            .map(|(_, _, value)| value)
    }

    fn find_priority(&self, covers: impl Fn(&scope::Scope) -> bool) -> Option<priority::Priority> {
        self.exceptions.iter().rev().find_map(|e| match e.value {
            exception_value::ExceptionValue::Priority(priority) if covers(&e.scope) => {
                Some(priority)
            }
            _ => None,
        })
    }
}
