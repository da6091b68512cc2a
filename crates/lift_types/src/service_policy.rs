//! Policy of a service.

use crate::{idempotency, method_id, service_kind};

/// Kind of a service and the class of each of its methods.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePolicy {
    /// Whether the service answers from weights.
    pub kind: service_kind::ServiceKind,
    /// Class of each named method. A method that is not named is non-idempotent.
    #[serde(default)]
    pub methods: indexmap::IndexMap<method_id::MethodId, idempotency::Idempotency>,
}
