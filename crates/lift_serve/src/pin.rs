//! Pin of a request in progress.

use std::sync;

use crate::gate;

/// Keeps the serving version in place while a request runs. Dropping it ends the pin.
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
