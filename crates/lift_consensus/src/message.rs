//! Message between members.

use crate::message_body;

/// Message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Message {
    /// Identifier of the sender.
    pub from: lift_types::MemberId,
    /// Identifier of the receiver.
    pub to: lift_types::MemberId,
    /// Term of the sender. A pre-vote request and a reply that grants it carry instead the
    /// term of the election that the candidate would start.
    pub term: lift_types::Term,
    /// Request or reply.
    pub body: message_body::MessageBody,
}
