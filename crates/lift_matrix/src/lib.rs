//! The fault matrix: every fault at every step of the three journeys.
//!
//! A journey is the spread of a version ([`SpreadStep`]), a non-idempotent request
//! ([`RequestStep`]) or a change of the configuration ([`ConfigStep`]). Each [`Fault`] is
//! injected when a journey first reaches each step. The tests of this crate run one test for
//! each cell through the real decision code, in virtual time, with small fakes at the
//! interfaces. [`table`] returns the text of `docs/faults.md`; a test compares the two, so that a
//! missing cell is noticed.

mod config_step;
mod fault;
mod journey;
mod request_step;
mod spread_step;
mod table;

pub use config_step::ConfigStep;
pub use fault::Fault;
pub use journey::Journey;
pub use request_step::RequestStep;
pub use spread_step::SpreadStep;
pub use table::table;
