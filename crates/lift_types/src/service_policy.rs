//! Policy of a service.

use crate::{idempotency, method_id, service_kind};

/// Kind of a service and the idempotency of its methods.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePolicy {
    /// Whether the service is backed by model weights.
    pub kind: service_kind::ServiceKind,
    /// Idempotency of each listed method. A method that is not listed is non-idempotent.
    #[serde(default)]
    pub methods: indexmap::IndexMap<method_id::MethodId, idempotency::Idempotency>,
}
