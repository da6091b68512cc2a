//! Identifier of a failure domain.

/// Name of a failure domain. Hosts in one failure domain can fail together.
pub type FailureDomainId = String;
