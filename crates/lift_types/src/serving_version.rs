//! The version that a host serves.

use crate::{fencing_token, version_id};

/// A version that the engine has confirmed, with the fencing token of its load order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct ServingVersion {
    /// The version.
    pub version: version_id::VersionId,
    /// fencing token of the order that loaded it.
    pub fencing: fencing_token::FencingToken,
}
