//! Small stand-ins for the systems at the borders, for tests and experiments.
//!
//! [`OriginStandin`] and [`WeightStoreStandin`] give weights and can fail. [`EngineOrders`]
//! follows load orders as a model engine does; [`engine_routes`] serves it over HTTP.
//! [`ControlStandin`] keeps policy, leases and grants in memory, without a log.
//!
//! [`AnswerEngine`] answers requests like a model engine whose loaded version comes from a
//! channel. [`PlainLedger`] is a plain service that counts what ran. Both can be made to
//! misbehave with an [`AnswerFault`]; an [`AnswerRelay`] loses the state of connections.
//! [`MemoryControl`] keeps claims in memory, and [`MemoryLog`] stands in for the log.
//! [`LinkNet`] limits connections to the rates of links.

mod answer_engine;
mod answer_fault;
mod answer_relay;
mod answer_server;
mod answer_text;
mod control_fault;
mod control_standin;
mod engine_fault;
mod engine_orders;
mod engine_server;
mod engine_token_check;
mod link_net;
mod link_node;
mod link_pump;
mod link_rate;
mod link_state;
mod link_traffic;
mod memory_control;
mod memory_log;
mod origin_fault;
mod origin_standin;
mod plain_ledger;
mod policy_edit;
mod weight_store_standin;

pub use answer_engine::AnswerEngine;
pub use answer_fault::AnswerFault;
pub use answer_relay::AnswerRelay;
pub use answer_server::AnswerServer;
pub use answer_text::AnswerText;
pub use control_fault::ControlFault;
pub use control_standin::ControlStandin;
pub use engine_fault::EngineFault;
pub use engine_orders::EngineOrders;
pub use engine_server::engine_routes;
pub use engine_token_check::EngineTokenCheck;
pub use link_net::LinkNet;
pub use link_rate::LinkRate;
pub use link_state::LinkState;
pub use link_traffic::LinkTraffic;
pub use memory_control::MemoryControl;
pub use memory_log::MemoryLog;
pub use origin_fault::OriginFault;
pub use origin_standin::OriginStandin;
pub use plain_ledger::PlainLedger;
pub use weight_store_standin::WeightStoreStandin;
