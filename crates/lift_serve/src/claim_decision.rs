//! Decision on a claimed attempt.

/// Whether a claimed attempt may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The attempt is new. It may run, once.
    Run,
    /// The attempt has not run and is refused. The refusal is recorded unless the table is full.
    WillNotRun,
    /// This attempt, or another one under the same key, was started before and may have run.
    AlreadyStarted,
}
