//! Actions that an activation requests.

/// Action that the caller of [`crate::Activation::step`] carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActivationAction {
    /// Ask control whether the host may switch.
    RequestGrant {
        /// Version to switch to; the host holds all of it.
        version: lift_types::VersionId,
        /// Revision of the policy that sets the version as the target.
        revision: lift_types::Revision,
        /// Version that is advertised at present.
        serving: Option<lift_types::ServingVersion>,
    },
    /// Refuse new requests and wait for those in progress.
    CloseAndDrain,
    /// Order the engine to load a version.
    Load {
        /// Version to load.
        version: lift_types::VersionId,
        /// Hash of the complete weights.
        hash: lift_types::ChunkHash,
        /// Fencing token of the order.
        fencing: lift_types::FencingToken,
    },
    /// Accept requests for a version and advertise it.
    Advertise(lift_types::ServingVersion),
    /// Refuse new requests and advertise nothing.
    Withdraw,
}
