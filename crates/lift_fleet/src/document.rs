//! A configuration document.

use crate::document_version;

/// A complete configuration as the operator sent it. The text is kept as it came, compressed,
/// since a reader must get back exactly what was sent.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Document {
    /// Its number.
    pub version: document_version::DocumentVersion,
    /// The compressed text.
    pub packed: bytes::Bytes,
}
