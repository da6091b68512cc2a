//! Small stand-ins for the systems at the borders, for tests and experiments.
//!
//! [`AnswerEngine`] answers requests like a model engine whose loaded version comes from a
//! channel. [`PlainLedger`] is a plain service that counts what ran. Both can be made to
//! misbehave with an [`AnswerFault`]; an [`AnswerRelay`] loses the state of connections. [`MemoryControl`] stands in for control.

mod answer_engine;
mod answer_fault;
mod answer_relay;
mod answer_server;
mod answer_text;
mod control_fault;
mod memory_control;
mod plain_ledger;
mod policy_edit;

pub use answer_engine::AnswerEngine;
pub use answer_fault::AnswerFault;
pub use answer_relay::AnswerRelay;
pub use answer_server::AnswerServer;
pub use answer_text::AnswerText;
pub use control_fault::ControlFault;
pub use memory_control::MemoryControl;
pub use plain_ledger::PlainLedger;
