//! Delay between two failure domains.

use std::time;

/// One-way delay between two failure domains, in either direction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainDelay {
    /// One of the two.
    pub from: lift_types::FailureDomainId,
    /// The other one.
    pub to: lift_types::FailureDomainId,
    /// Time that a message takes.
    pub delay: time::Duration,
}
