//! Requests on the wire.

/// What a client asks. New variants go to the end, since the position is encoded.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) enum Request {
    /// Asks whether a revision is current. Also keeps the connection alive and asks for
    /// pushes of later revisions.
    Confirm {
        revision: lift_types::Revision,
    },
    Change(lift_state::ConfigChange),
    Publish(lift_types::Manifest),
    Manifest(lift_types::VersionId),
    Versions,
    Register(lift_state::Registration),
    RenewAll(Vec<lift_state::LeaseRenewal>),
    Activate(lift_state::ActivationRequest),
    Claim(lift_state::ClaimRequest),
    FindClaim(lift_state::ClaimKey),
    Reassign(lift_state::ReassignRequest),
    Record(lift_state::RecordRequest),
    Audit {
        after: lift_types::Revision,
        limit: u32,
    },
    SwarmView(lift_transfer::SwarmViewRequest),
    Members,
    ChangeMember(lift_consensus::MemberChange),
}
