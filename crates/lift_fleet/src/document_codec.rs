//! Decoding of configuration documents.

use std::fmt;

use crate::{document_error, routing_table};

/// Decodes the format in which operators write configuration documents.
pub trait DocumentCodec: fmt::Debug + Send + Sync {
    /// Decodes the text of a document and checks that its parts are consistent.
    ///
    /// # Errors
    ///
    /// Returns the first problem found in the document.
    fn decode(
        &self,
        text: &[u8],
    ) -> Result<routing_table::RoutingTable, document_error::DocumentError>;
}
