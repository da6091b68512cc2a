//! Event of a non-idempotent request.

use crate::attempt_failure;

/// Input of a [`crate::ClaimedRequest`]. Events about an attempt name its holder, so that
/// late and duplicate events are detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimedEvent {
    /// A host was selected.
    HostSelected {
        /// The host.
        host: lift_types::HostId,
        /// Incarnation of its agent.
        incarnation: lift_types::Incarnation,
    },
    /// No host can take the request.
    NoHost,
    /// Control granted the claim to this request.
    Granted(lift_state::ClaimHolder),
    /// Control reported the holder of an existing claim. The report grants nothing to this
    /// request.
    Pending(lift_state::ClaimHolder),
    /// Control reported that no claim exists.
    Absent,
    /// Control reported the recorded outcome.
    Recorded,
    /// Control reported that the key was used with another method, path or body.
    Mismatch,
    /// Control rejected the claim because too many claims are stored.
    Full,
    /// Control did not reply, or it is unknown whether it carried out the operation.
    ControlFailed,
    /// The complete answer, or its beginning, was received.
    Answered(lift_state::ClaimHolder),
    /// The attempt failed without a complete answer.
    Failed(lift_state::ClaimHolder, attempt_failure::AttemptFailure),
    /// The holder reported that the attempt ran.
    Ran(lift_state::ClaimHolder),
    /// The holder reported that the attempt is in progress.
    Running(lift_state::ClaimHolder),
    /// The holder reported that the attempt did not run and never will.
    WillNotRun(lift_state::ClaimHolder),
    /// The holder does not know whether the attempt ran, or a later incarnation replaced it.
    Unknown(lift_state::ClaimHolder),
    /// The holder could not be reached, or did not reply to the query in time.
    QueryFailed(lift_state::ClaimHolder),
    /// The deadline of the request passed.
    DeadlineExceeded,
}
