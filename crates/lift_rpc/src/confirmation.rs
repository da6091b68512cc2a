//! Answer to the question for the current policy.

use std::{sync, time};

/// A policy that was current at some time.
#[derive(Clone, Debug)]
pub struct Confirmation {
    /// The policy. No later one had been accepted `age` ago.
    pub policy: sync::Arc<lift_types::Policy>,
    /// Age of this knowledge when the answer was given.
    pub age: time::Duration,
}
