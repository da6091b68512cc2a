//! What a fleet with self-announcing backend servers agrees on, without I/O.
//!
//! A [`Document`] is the configuration that operators replace as a whole; [`FleetState`] keeps
//! the highest one and the newest version that was named of each model's weights. A
//! [`RoutingTable`] is a document decoded and checked: it finds the [`Route`] of a request and
//! the workspace of a key. A [`Directory`] merges what backend servers announce of
//! themselves, late and out of order. [`MemberPlan`] says which change of the control members
//! comes next.
//!
//! Every function takes `now` where it needs the time. See `docs/platform.md`.

mod announcement;
mod api_key;
mod backend_id;
mod backend_record;
mod backend_state;
mod caller_limits;
mod change_size;
mod directory;
mod document;
mod document_codec;
mod document_error;
mod document_version;
mod engine_shape;
mod fleet_command;
mod fleet_reply;
mod fleet_state;
mod loaded_model;
mod member_plan;
mod member_sight;
mod model_name;
mod origin_place;
mod route;
mod route_kind;
mod routing_table;
mod routing_table_builder;
mod service;
mod split;
mod table_error;
mod weights_version;

pub use announcement::Announcement;
pub use api_key::ApiKey;
pub use backend_id::BackendId;
pub use backend_record::BackendRecord;
pub use backend_state::BackendState;
pub use caller_limits::CallerLimits;
pub use change_size::ChangeSize;
pub use directory::Directory;
pub use document::Document;
pub use document_codec::DocumentCodec;
pub use document_error::DocumentError;
pub use document_version::DocumentVersion;
pub use engine_shape::EngineShape;
pub use fleet_command::FleetCommand;
pub use fleet_reply::FleetReply;
pub use fleet_state::FleetState;
pub use loaded_model::LoadedModel;
pub use member_plan::MemberPlan;
pub use member_sight::MemberSight;
pub use model_name::ModelName;
pub use origin_place::OriginPlace;
pub use route::Route;
pub use route_kind::RouteKind;
pub use routing_table::RoutingTable;
pub use routing_table_builder::RoutingTableBuilder;
pub use service::Service;
pub use split::Split;
pub use table_error::TableError;
pub use weights_version::WeightsVersion;
