//! Faults of the control stand-in.

/// How operations of [`crate::MemoryControl`] fail.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControlFault {
    /// They don't.
    #[default]
    None,
    /// They are refused and not carried out, and the policy is no longer confirmed.
    Unavailable,
    /// They are carried out and their answers are lost.
    LosesAnswers,
}
