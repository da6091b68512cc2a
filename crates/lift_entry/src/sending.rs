//! Whether a key is sent for the first time.

/// What the caller says of a non-idempotent request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sending {
    /// The key was not sent before.
    First,
    /// The key was sent before, and the caller has no answer.
    Repeat,
}
