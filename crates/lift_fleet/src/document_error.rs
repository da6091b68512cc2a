//! Why a document is invalid.

use crate::table_error;

/// Problem of a configuration document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// The text can't be decoded.
    #[error("the document can't be read: {0}")]
    Unreadable(String),
    /// Its parts don't fit together.
    #[error(transparent)]
    Table(#[from] table_error::TableError),
}
