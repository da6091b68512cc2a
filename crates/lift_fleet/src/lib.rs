//! Configuration, target versions, backend servers and control members of a fleet, without I/O.
//!
//! A [`Document`] is the configuration, which operators replace as a whole. [`FleetState`] holds
//! the document with the highest version, the target version of each model's weights, and the
//! [`Evacuations`] of failure domains. [`NamingTimes`] tell when the versions of a model were
//! named. A [`RoutingTable`] is a decoded and checked document: it finds the [`Route`] of a request
//! and the workspace of a key. A [`Directory`] merges the announcements of backend servers, which
//! may arrive late and out of order. [`MembershipAction`] decides on the next change to the set of
//! control members. A [`PartSighting`] is what gateways tell each other about a [`PromptPart`] that
//! may crash backend servers.
//!
//! Every function takes `now` where it needs the time. See `docs/platform.md`.

mod allowed_regions;
mod announcement;
mod announcement_error;
mod api_key;
mod backend_id;
mod backend_record;
mod backend_state;
mod caller_limits;
mod directory;
mod document;
mod document_codec;
mod document_error;
mod document_version;
mod domain_delay;
mod earlier_fleet_state;
mod engine_spec;
mod evacuation_revision;
mod evacuations;
mod fleet_command;
mod fleet_reply;
mod fleet_state;
mod loaded_model;
mod member_status;
mod membership_action;
mod model_name;
mod naming;
mod naming_times;
mod origin_endpoint;
mod part_observation;
mod part_sighting;
mod prompt_part;
mod request_digest;
mod route;
mod route_kind;
mod routing_table;
mod routing_table_builder;
mod service;
mod split;
mod table_error;
mod update_outcome;
mod warmup;
mod weights_version;
mod workspace;

pub use allowed_regions::AllowedRegions;
pub use announcement::Announcement;
pub use announcement_error::AnnouncementError;
pub use api_key::ApiKey;
pub use backend_id::BackendId;
pub use backend_record::BackendRecord;
pub use backend_state::BackendState;
pub use caller_limits::CallerLimits;
pub use directory::Directory;
pub use document::Document;
pub use document_codec::DocumentCodec;
pub use document_error::DocumentError;
pub use document_version::DocumentVersion;
pub use domain_delay::DomainDelay;
pub use earlier_fleet_state::EarlierFleetState;
pub use engine_spec::EngineSpec;
pub use evacuation_revision::EvacuationRevision;
pub use evacuations::Evacuations;
pub use fleet_command::FleetCommand;
pub use fleet_reply::FleetReply;
pub use fleet_state::FleetState;
pub use loaded_model::LoadedModel;
pub use member_status::MemberStatus;
pub use membership_action::MembershipAction;
pub use model_name::{MAX_MODEL_NAME_BYTES, ModelName};
pub use naming::Naming;
pub use naming_times::NamingTimes;
pub use origin_endpoint::OriginEndpoint;
pub use part_observation::PartObservation;
pub use part_sighting::PartSighting;
pub use prompt_part::PromptPart;
pub use request_digest::RequestDigest;
pub use route::Route;
pub use route_kind::RouteKind;
pub use routing_table::RoutingTable;
pub use routing_table_builder::RoutingTableBuilder;
pub use service::Service;
pub use split::Split;
pub use table_error::TableError;
pub use update_outcome::UpdateOutcome;
pub use warmup::Warmup;
pub use weights_version::WeightsVersion;
pub use workspace::Workspace;
