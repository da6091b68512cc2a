//! State of the fleet, pushed from control members to the other nodes.
//!
//! A [`FeedServer`] runs beside each control member. A [`FeedClient`] runs in every node and keeps
//! a connection to each control member that it knows of: it starts from a few seeds and learns the
//! others. The client passes the routing table, backend servers, target versions, evacuated failure
//! domains and other nodes to a [`FleetObserver`]. It also passes the last time at which the
//! configuration and the evacuations were confirmed to be in force ([`Confirmation`]). Only the
//! leader confirms that, under its lease; an [`AskSchedule`] for each connection keeps the
//! questions to the others few.
//!
//! Gateways tell each other through the members which parts of prompts seem to crash backend
//! servers ([`lift_fleet::PartSighting`]). A [`SightingLog`] at each gateway and member keeps the
//! latest of them in memory; a [`SightingCursor`] for each connection tells what it has sent.
//!
//! A [`NodeSetup`] holds the settings that the roles of all nodes share.
//!
//! Documents are sent compressed and fetched over one connection. Every other message is sent
//! over all connections and merged, so that the loss of any one connection delays nothing.
//! See `docs/platform.md`.

mod answered_question;
mod ask_schedule;
mod confirmation;
mod earlier_version;
mod feed_client;
mod feed_error;
mod feed_link;
mod feed_ports;
mod feed_server;
mod feed_shared;
mod feed_source;
mod feed_state;
mod fleet_head;
mod fleet_observer;
mod join;
mod join_answer;
mod known_members;
mod link_socket;
mod load_report;
mod member_card;
mod member_message;
mod named_weights;
mod newcomer;
mod node_card;
mod node_kind;
mod node_message;
mod node_setup;
mod node_setup_builder;
mod pack;
mod questions;
mod server_connection;
mod shared_sightings;
mod sighting_cursor;
mod sighting_log;
mod sighting_outcome;
mod sighting_sender;
mod spread;
mod subscriber;
mod subscribers;

pub use ask_schedule::AskSchedule;
pub use confirmation::Confirmation;
pub use earlier_version::EarlierVersion;
pub use feed_client::FeedClient;
pub use feed_error::FeedError;
pub use feed_ports::FeedPorts;
pub use feed_server::FeedServer;
pub use feed_source::FeedSource;
pub use fleet_head::FleetHead;
pub use fleet_observer::FleetObserver;
pub use join::join;
pub use join_answer::JoinAnswer;
pub use link_socket::prepare_link;
pub use load_report::LoadReport;
pub use member_card::MemberCard;
pub use member_message::MemberMessage;
pub use named_weights::NamedWeights;
pub use newcomer::Newcomer;
pub use node_card::NodeCard;
pub use node_kind::NodeKind;
pub use node_message::NodeMessage;
pub use node_setup::NodeSetup;
pub use node_setup_builder::NodeSetupBuilder;
pub use pack::{pack, unpack};
pub use sighting_cursor::SightingCursor;
pub use sighting_log::SightingLog;
pub use sighting_outcome::SightingOutcome;
pub use spread::Spread;
