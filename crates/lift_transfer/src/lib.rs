//! Decisions of weight distribution: chunk choice, assignment and activation.
//!
//! A [`HomeTable`] assigns key groups of chunks to live agents and answers each agent with
//! a [`SwarmView`]: its neighbours, and the [`HomeGroup`]s that it reads first, from the
//! origin or from another region. A [`Download`] decides at one agent which chunk to
//! request from whom. An [`UploadQueue`] orders what the agent sends, and a [`Pacer`] keeps
//! chunk traffic below live requests. An [`Activation`] decides when the engine gets an
//! order and what the host advertises.
//!
//! No I/O, clock or encoding here: each step takes the time and an event and returns
//! actions. See `docs/design.md`, section 7, and `docs/decisions/chunk-exchange.md`.

mod activation;
mod activation_action;
mod activation_config;
mod activation_event;
mod activation_report;
mod activation_state;
mod assign;
mod chunk_choice;
mod chunk_sources;
mod download;
mod download_action;
mod download_config;
mod download_event;
mod download_peer;
mod flights;
mod home_group;
mod home_table;
mod link_pressure;
mod load_turn;
mod origin_turns;
mod pacer;
mod response_times;
mod source;
mod swarm_peer;
mod swarm_view;
mod swarm_view_request;
mod upload;
mod upload_queue;
mod upload_reply;
mod upstream;

pub use activation::Activation;
pub use activation_action::ActivationAction;
pub use activation_config::ActivationConfig;
pub use activation_event::ActivationEvent;
pub use assign::assign;
pub use download::Download;
pub use download_action::DownloadAction;
pub use download_config::DownloadConfig;
pub use download_event::DownloadEvent;
pub use home_group::HomeGroup;
pub use home_table::{HomeTable, MAX_NEIGHBOURS};
pub use link_pressure::LinkPressure;
pub use load_turn::LoadTurn;
pub use pacer::Pacer;
pub use source::Source;
pub use swarm_peer::SwarmPeer;
pub use swarm_view::SwarmView;
pub use swarm_view_request::SwarmViewRequest;
pub use upload::Upload;
pub use upload_queue::UploadQueue;
pub use upload_reply::UploadReply;
pub use upstream::Upstream;
