//! One difference between two documents.

use crate::change;

/// A difference from the document in force. Keys of workspaces are counted and never shown.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Difference {
    /// The entry, such as `route a`.
    pub entry: String,
    /// What happens to it.
    pub change: change::Change,
    /// The values before and after, for an entry that is changed.
    pub detail: String,
}
