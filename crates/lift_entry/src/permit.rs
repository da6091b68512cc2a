//! Permit of an admitted request.

use std::sync;

use crate::admission;

/// Slot of an admitted request. Dropping it releases the slot and admits waiting requests.
#[derive(Debug)]
pub(crate) struct Permit {
    admission: Option<sync::Arc<admission::Admission>>,
}

impl Permit {
    pub(crate) fn new(admission: sync::Arc<admission::Admission>) -> Self {
        Self {
            admission: Some(admission),
        }
    }

    /// Discards the permit without releasing its slot. The code that acquired the slot must
    /// release it.
    pub(crate) fn disarm(mut self) {
        self.admission = None;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(admission) = self.admission.take() {
            admission.release();
        }
    }
}
