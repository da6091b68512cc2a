//! What an activation asks for.

/// Action of a [`crate::Activation`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActivationAction {
    /// Ask control whether the host may switch.
    RequestGrant {
        /// Version that is held whole.
        version: lift_types::VersionId,
        /// Revision of the policy that asks for it.
        revision: lift_types::Revision,
        /// Version that is served now.
        serving: Option<lift_types::ServingVersion>,
    },
    /// Refuse new requests and wait for those in progress.
    CloseAndDrain,
    /// Order the engine to load a version.
    Load {
        /// The version.
        version: lift_types::VersionId,
        /// Hash of the whole.
        hash: lift_types::ChunkHash,
        /// Token of the order.
        fencing: lift_types::FencingToken,
    },
    /// Take requests for a version and advertise it.
    Advertise(lift_types::ServingVersion),
    /// Take no requests and advertise nothing.
    Withdraw,
}
