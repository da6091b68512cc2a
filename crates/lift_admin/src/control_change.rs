//! Change of the members of control.

use std::net;

/// One change. A host is replaced by adding the new member, promoting it once it has caught
/// up, and removing the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ControlChange {
    /// Adds a member that receives the log without counting towards the quorum.
    Add {
        /// Identifier, above all that were used before.
        id: lift_types::MemberId,
        /// Address for other members.
        peer: net::SocketAddr,
        /// Address for entries.
        client: net::SocketAddr,
    },
    /// Lets a member count towards the quorum that has caught up and synced.
    Promote {
        /// Identifier of the member.
        id: lift_types::MemberId,
    },
    /// Removes a member.
    Remove {
        /// Identifier of the member.
        id: lift_types::MemberId,
    },
}
