//! Whether a claimed attempt may run.

/// Verdict on a claimed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStart {
    /// The attempt is new. It may run, once.
    Run,
    /// The attempt has not run and never will.
    Refused,
    /// The attempt, or an earlier one under the key, was dispatched before.
    Seen,
}
