//! Messages from control members to nodes.

use crate::{confirmation, fleet_head, join_answer, member_card, node_card};

/// Message of a control member.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum MemberMessage {
    /// The control members, as this one knows them.
    Members {
        /// All members.
        members: Vec<member_card::MemberCard>,
        /// Highest identifier that was ever used, or 0 as long as these members may not stay in
        /// force. A member whose identifier is not above it and that is not listed was removed.
        highest: lift_types::MemberId,
    },
    /// Versions and evacuations in force.
    Head(fleet_head::FleetHead),
    /// The document in force.
    Document(lift_fleet::Document),
    /// Backend servers, new or changed.
    Backends(Vec<lift_fleet::BackendRecord>),
    /// All nodes that are connected to this member.
    Nodes(Vec<node_card::NodeCard>),
    /// A node has connected.
    NodeUp(node_card::NodeCard),
    /// A node has left.
    NodeDown(lift_types::HostId),
    /// Answer of a member that does not lead. It shows that the connection lives.
    Heard {
        /// Number of the question.
        nonce: u64,
    },
    /// Answer of the leader: when the question came, this state was in force.
    Confirmed {
        /// Number of the question.
        nonce: u64,
        /// The state.
        confirmation: confirmation::Confirmation,
    },
    /// Answer to a newcomer.
    Join(join_answer::JoinAnswer),
    /// Versions in force when a question came, sent after its answer while a naming is recent, and
    /// always to other members. A pushed [`Self::Head`] may lie in the socket of a node that stands
    /// still, so its ages count from the last question that was answered before; those of this
    /// message count from the time of its question.
    HeadAfter {
        /// Number of the question.
        nonce: u64,
        /// The versions.
        head: fleet_head::FleetHead,
    },
    /// What gateways have observed. Only gateways receive it.
    PartSightings(Vec<lift_fleet::PartSighting>),
}
