//! Event that a link delivers to a request.

/// Message for a request, or loss of its link.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// Message from the agent.
    Message(lift_wire::AnswerMessage),
    /// The link was closed. The outcome of the request is unknown.
    Lost(lift_route::AttemptFailure),
}
