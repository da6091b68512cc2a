//! One finding.

use crate::finding_kind;

/// A probable mistake in a document that control would accept.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Finding {
    /// What is wrong.
    pub kind: finding_kind::FindingKind,
    /// The entry, such as `route a`.
    pub entry: String,
    /// What was found, in a sentence.
    pub problem: String,
}

impl Finding {
    pub(crate) fn new(kind: finding_kind::FindingKind, entry: &str, problem: String) -> Self {
        Self {
            kind,
            entry: String::from(entry),
            problem,
        }
    }
}
