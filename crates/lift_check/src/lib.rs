//! Check of a configuration document before it is sent, without I/O.
//!
//! A document that can't be decoded, or is inconsistent, is refused by the decoder and by control.
//! [`check`] looks for what control accepts although it is probably a mistake: entries that can
//! never match and limits that contradict each other, each as a [`Finding`]. [`compare`] lists what
//! differs from the document in force, each as a [`Difference`]. `liftctl document check` prints
//! both; `docs/operate/check-document.md` is the page for operators.

mod change;
mod difference;
mod document_check;
mod document_diff;
mod finding;
mod finding_kind;
mod region_check;
mod route_check;
mod service_check;
mod workspace_check;

pub use change::Change;
pub use difference::Difference;
pub use document_check::check;
pub use document_diff::compare;
pub use finding::Finding;
pub use finding_kind::FindingKind;
