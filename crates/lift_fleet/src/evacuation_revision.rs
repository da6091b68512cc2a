//! Revision of the set of evacuated failure domains.

/// Index of the log entry that changed the set last, 0 if none has. It is the same at all control
/// members and never decreases, so the set with the highest revision is the newest one.
pub type EvacuationRevision = u64;
