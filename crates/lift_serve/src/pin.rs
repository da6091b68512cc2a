//! Pin of a request in progress.

use std::sync;

use crate::gate;

/// Counts a request as in progress at the gate until it is dropped. The weights are changed
/// only when no pin is left.
#[derive(Debug)]
pub(crate) struct Pin {
    gate: sync::Arc<gate::Gate>,
    position: usize,
    /// Version that the request is pinned to; `None` for a plain service.
    pub(crate) version: Option<lift_types::VersionId>,
}

impl Pin {
    pub(crate) fn new(
        gate: sync::Arc<gate::Gate>,
        position: usize,
        version: Option<lift_types::VersionId>,
    ) -> Self {
        Self {
            gate,
            position,
            version,
        }
    }
}

impl Drop for Pin {
    fn drop(&mut self) {
        self.gate.unpin(self.position);
    }
}
