//! The configuration that operators change.

use crate::{
    exception_value, idempotency, place, policy_default, policy_exception, priority, revision,
    scope, service_kind, transfer_goal, version_id, workspace_limits,
};

/// Default and exceptions at one revision. See `docs/design.md`, sections 7 and 9.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Policy {
    /// Revision; zero before the first change.
    pub revision: revision::Revision,
    /// What holds where no exception applies.
    pub default: policy_default::PolicyDefault,
    /// Exceptions, oldest first.
    pub exceptions: Vec<policy_exception::PolicyException>,
}

impl Policy {
    /// Version that the host at `place` serves.
    pub fn version_at(&self, place: &place::Place) -> Option<&version_id::VersionId> {
        let held = self.find_at(place, |value| match value {
            exception_value::ExceptionValue::Version(version) => Some(version),
            _ => None,
        });
        held.or(self.default.version.as_ref())
    }

    /// Exception that decides the version at `place`, where one does.
    pub fn version_exception_at(
        &self,
        place: &place::Place,
    ) -> Option<&policy_exception::PolicyException> {
        let covering = self
            .exceptions
            .iter()
            .filter(|e| matches!(e.value, exception_value::ExceptionValue::Version(_)));
        covering
            .filter_map(|e| Some((e.scope.specificity(place)?, e.since, e)))
            .max_by_key(|(s, since, _)| (*s, *since))
            .map(|(_, _, e)| e)
    }

    /// Percentage of replicas at `place` that stay in service while hosts switch.
    pub fn activation_floor_percent_at(&self, place: &place::Place) -> u8 {
        let value = self.find_at(place, |value| match value {
            exception_value::ExceptionValue::ActivationFloorPercent(percent) => Some(percent),
            _ => None,
        });
        value
            .copied()
            .unwrap_or(self.default.activation_floor_percent)
    }

    /// Weight of time against origin bytes at `place`.
    pub fn transfer_goal_at(&self, place: &place::Place) -> transfer_goal::TransferGoal {
        let value = self.find_at(place, |value| match value {
            exception_value::ExceptionValue::TransferGoal(goal) => Some(goal),
            _ => None,
        });
        value.copied().unwrap_or(self.default.transfer_goal)
    }

    /// Limits of a workspace.
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

    /// Priority of a request. An exception of the workspace goes before one of the service.
    pub fn priority_of(&self, workspace: &str, service: &str) -> priority::Priority {
        let of_workspace = self.find_priority(
            |scope| matches!(scope, scope::Scope::Workspace(name) if name == workspace),
        );
        let of_service = || {
            self.find_priority(
                |scope| matches!(scope, scope::Scope::Service(name) if name == service),
            )
        };
        of_workspace.or_else(of_service).unwrap_or_default()
    }

    /// Class of a method. An unknown service or method is non-idempotent.
    pub fn idempotency_of(&self, service: &str, method: &str) -> idempotency::Idempotency {
        let found = self
            .exceptions
            .iter()
            .rev()
            .find_map(|e| match (&e.scope, &e.value) {
                (
                    scope::Scope::Service(name),
                    exception_value::ExceptionValue::Method(m, class),
                ) if name == service && m == method => Some(*class),
                _ => None,
            });
        let by_default = || {
            self.default
                .services
                .get(service)?
                .methods
                .get(method)
                .copied()
        };
        found.or_else(by_default).unwrap_or_default()
    }

    /// Kind of a service, or `None` where the policy does not know it.
    pub fn kind_of(&self, service: &str) -> Option<service_kind::ServiceKind> {
        Some(self.default.services.get(service)?.kind)
    }

    fn find_at<'a, T>(
        &'a self,
        place: &place::Place,
        select: impl Fn(&'a exception_value::ExceptionValue) -> Option<&'a T>,
    ) -> Option<&'a T> {
        let covering = self
            .exceptions
            .iter()
            .filter_map(|e| Some((e.scope.specificity(place)?, e.since, select(&e.value)?)));
        covering
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
