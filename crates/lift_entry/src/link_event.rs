//! What a link delivers to a request.

/// Message or end of the link.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// A message of the agent.
    Message(lift_wire::AnswerMessage),
    /// The link ended. It does not tell what became of the request.
    Lost(lift_route::AttemptFailure),
}
