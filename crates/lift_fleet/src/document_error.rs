//! Why a document is invalid.

use crate::table_error;

/// Problem that makes a configuration document invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// The text can't be decoded.
    #[error("the document can't be decoded: {0}")]
    Unreadable(String),
    /// The parts of the document are inconsistent.
    #[error(transparent)]
    Table(#[from] table_error::TableError),
}
