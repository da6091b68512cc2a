//! Decoding of configuration documents.

use std::fmt;

use crate::{document_error, routing_table};

/// Knows the format in which operators write configuration documents.
pub trait DocumentCodec: fmt::Debug + Send + Sync {
    /// Decodes and checks the text of a document.
    ///
    /// # Errors
    ///
    /// Returns why the document is invalid.
    fn decode(
        &self,
        text: &[u8],
    ) -> Result<routing_table::RoutingTable, document_error::DocumentError>;
}
