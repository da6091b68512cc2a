//! What happens to a non-idempotent request.

use crate::attempt_end;

/// Event of a [`crate::ClaimedRequest`]. Events about an attempt name its holder, so that
/// late and doubled ones are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimedEvent {
    /// A host was chosen.
    Chosen {
        /// The host.
        host: lift_types::HostId,
        /// Incarnation of its agent.
        incarnation: lift_types::Incarnation,
    },
    /// No host can take the request.
    NoHost,
    /// Control gave the claim to this request.
    Held(lift_state::ClaimHolder),
    /// Control says that the claim exists and this request did not make it.
    Pending(lift_state::ClaimHolder),
    /// Control says that no claim exists.
    Absent,
    /// Control knows the outcome.
    Recorded,
    /// The key was used with another body.
    Mismatch,
    /// Control keeps too many claims.
    Full,
    /// Control gave no answer, or it is not known whether the operation was carried out.
    ControlFailed,
    /// The whole answer, or its start, came.
    Answered(lift_state::ClaimHolder),
    /// The attempt ended without an answer.
    Ended(lift_state::ClaimHolder, attempt_end::AttemptEnd),
    /// The holder says that the attempt ran.
    Ran(lift_state::ClaimHolder),
    /// The holder says that the attempt is in progress.
    Running(lift_state::ClaimHolder),
    /// The holder says that the attempt did not run and never will.
    Never(lift_state::ClaimHolder),
    /// The holder does not know whether the attempt ran.
    Unknown(lift_state::ClaimHolder),
    /// The holder could not be asked.
    QueryFailed(lift_state::ClaimHolder),
    /// The time of the request ran out.
    Deadline,
}
