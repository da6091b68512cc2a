//! Composes the roles of a node, and the demo.
//!
//! [`Node::start`] builds control, entry and agent from settings, in this order, and joins
//! them by the traits at their borders: [`lift_rpc::ControlPort`], [`lift_rpc::SwarmPort`] and
//! [`lift_border::ServingControl`]. [`run`] adds the signals: the first one stops the node
//! gracefully, a second one at once. [`demo()`] runs a small fleet of nodes in one process,
//! with the stand-ins of `lift_standin`, and returns a [`DemoReport`].
//! `docs/operate/first-run.md` shows both in use.
//!
//! [`FleetNode`] does the same for a fleet whose backend servers announce themselves: its roles
//! are a control member, a gateway and an agent, and a [`FleetAdapter`] translates to and from the
//! platform.

mod agent_role;
mod control_role;
mod demo;
mod demo_engine;
mod demo_error;
mod demo_fleet;
mod demo_options;
mod demo_progress;
mod demo_reply;
mod demo_report;
mod demo_settings;
mod demo_traffic;
mod demo_weights;
mod directory_swarm;
mod entry_fleet;
mod entry_role;
mod fleet_adapter;
mod fleet_keys;
mod fleet_limits;
mod fleet_metrics;
mod fleet_node;
mod fleet_run;
mod local_platform;
mod log_members;
mod node;
mod node_addrs;
mod node_context;
mod node_error;
mod run;
mod serving_slot;
mod stop_report;
mod tls_front;

pub use demo::demo;
pub use demo_error::DemoError;
pub use demo_options::DemoOptions;
pub use demo_progress::DemoProgress;
pub use demo_report::{DemoReport, SecondVersion};
pub use fleet_adapter::FleetAdapter;
pub use fleet_node::FleetNode;
pub use fleet_run::run_fleet;
pub use node::Node;
pub use node_addrs::NodeAddrs;
pub use node_error::NodeError;
pub use run::{RunEnd, run};
pub use stop_report::StopReport;
