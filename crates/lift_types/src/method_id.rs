//! Identifier of a method.

/// Name of a method of a service, for example `release`.
pub type MethodId = String;
