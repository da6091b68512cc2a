//! A message between members.

use crate::message_body;

/// What one member sends to another.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Message {
    /// Sender.
    pub from: lift_types::MemberId,
    /// Receiver.
    pub to: lift_types::MemberId,
    /// Term of the sender. In a pre-vote, the term that the sender would start.
    pub term: lift_types::Term,
    /// Content.
    pub body: message_body::MessageBody,
}
