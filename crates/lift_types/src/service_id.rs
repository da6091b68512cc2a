//! Identifier of a service.

/// Name of a service that callers address, for example `assistant` or `ledger`.
pub type ServiceId = String;
