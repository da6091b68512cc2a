//! The version that a host serves.

use crate::{fencing_token, version_id};

/// A version that the engine has confirmed as loaded, with the fencing token of its load order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct ServingVersion {
    /// Version of the weights.
    pub version: version_id::VersionId,
    /// Fencing token of the order that loaded the version.
    pub fencing: fencing_token::FencingToken,
}
