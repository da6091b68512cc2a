//! Decision logic for weight distribution: chunk selection, assignment and activation.
//!
//! A [`HomeTable`] assigns key groups of chunks to live agents and gives each agent a
//! [`SwarmView`]: its neighbours, and the [`HomeGroup`]s that it fetches first in its region,
//! from the origin or from another region. A [`Download`] decides which chunks one agent
//! requests, and from which sources, and an [`OriginWatch`] whether the origin answers. An
//! [`UploadQueue`] orders the chunks that an agent sends, and a [`Pacer`] limits the rate of chunk
//! traffic in favour of live requests. A
//! [`CongestionEstimator`] estimates how much chunk traffic a link can carry. An [`Activation`]
//! decides when the engine gets a load order and which version the host advertises, and a
//! [`StaggeredLoad`] computes the delay of a load, so that the backend servers of a region do
//! not all load at once. A [`VersionChoice`] decides whether an older version is
//! finished before a newer one is fetched.
//!
//! The crate does no I/O, reads no clock and encodes no messages: each state machine takes the
//! time and an event and returns actions. See `docs/design.md`, section 7, and
//! `docs/decisions/chunk-exchange.md`.

mod activation;
mod activation_action;
mod activation_config;
mod activation_event;
mod activation_report;
mod activation_state;
mod chunk_choice;
mod chunk_sources;
mod compute_view;
mod congestion_estimator;
mod download;
mod download_action;
mod download_config;
mod download_event;
mod download_origin;
mod download_peer;
mod home_group;
mod home_table;
mod origin_schedule;
mod origin_watch;
mod pacer;
mod pending_requests;
mod response_times;
mod round_trip_sample;
mod source;
mod staggered_load;
mod swarm_peer;
mod swarm_view;
mod swarm_view_request;
mod upload;
mod upload_queue;
mod upload_reply;
mod upstream;
mod version_choice;
mod version_decision;

pub use activation::Activation;
pub use activation_action::ActivationAction;
pub use activation_config::ActivationConfig;
pub use activation_event::ActivationEvent;
pub use compute_view::compute_view;
pub use congestion_estimator::CongestionEstimator;
pub use download::Download;
pub use download_action::DownloadAction;
pub use download_config::DownloadConfig;
pub use download_event::DownloadEvent;
pub use download_origin::MIN_ORIGIN_ABSENCE;
pub use home_group::HomeGroup;
pub use home_table::{HomeTable, MAX_NEIGHBOURS};
pub use origin_watch::OriginWatch;
pub use pacer::Pacer;
pub use source::Source;
pub use staggered_load::StaggeredLoad;
pub use swarm_peer::SwarmPeer;
pub use swarm_view::SwarmView;
pub use swarm_view_request::SwarmViewRequest;
pub use upload::Upload;
pub use upload_queue::UploadQueue;
pub use upload_reply::UploadReply;
pub use upstream::Upstream;
pub use version_choice::VersionChoice;
pub use version_decision::VersionDecision;
