//! A configuration document.

use crate::document_version;

/// Complete configuration as an operator sent it. The original text is kept, compressed, because
/// reading the configuration must return exactly what was sent.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Document {
    /// Number that the operator gave to the document.
    pub version: document_version::DocumentVersion,
    /// Compressed text of the document.
    pub compressed: bytes::Bytes,
}
