//! Message between members.

use crate::message_body;

/// Message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Message {
    /// Identifier of the sender.
    pub from: lift_types::MemberId,
    /// Identifier of the receiver.
    pub to: lift_types::MemberId,
    /// Term of the sender. In a pre-vote request and when a pre-vote is granted, the term in
    /// which the candidate would start its election.
    pub term: lift_types::Term,
    /// Request or reply.
    pub body: message_body::MessageBody,
}
