//! Small stand-ins for the systems at the borders, for tests and experiments.
//!
//! [`OriginStandin`] and [`WeightStoreStandin`] give weights and can fail. [`EngineOrders`]
//! follows load orders as a model engine does; [`engine_routes`] serves it over HTTP.
//! [`ControlStandin`] keeps policy, leases and grants in memory, without a log. [`LinkNet`]
//! holds connections to the rates of links.

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
mod origin_fault;
mod origin_standin;
mod weight_store_standin;

pub use control_standin::ControlStandin;
pub use engine_fault::EngineFault;
pub use engine_orders::EngineOrders;
pub use engine_server::engine_routes;
pub use engine_token_check::EngineTokenCheck;
pub use link_net::LinkNet;
pub use link_rate::LinkRate;
pub use link_state::LinkState;
pub use link_traffic::LinkTraffic;
pub use origin_fault::OriginFault;
pub use origin_standin::OriginStandin;
pub use weight_store_standin::WeightStoreStandin;
