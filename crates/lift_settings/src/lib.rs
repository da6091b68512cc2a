//! JSON settings of a node, with checks that name the field at fault.
//!
//! [`Settings::load`] reads a file and rejects unknown fields, fields that do not fit
//! together and files that can't be read. Each [`Role`] has a section of its own. The first
//! fault is reported as a [`SettingsError`]: path, problem and what is allowed, on one line.
//! The fields are listed in `docs/operate/settings.md`. An example of this crate generates that
//! file from these types, and a test compares the two.
//!
//! [`FleetSettings`] are the settings of a node in a fleet whose backend servers announce
//! themselves. They are listed in `docs/operate/fleet-settings.md`, which is generated and
//! compared in the same way.

mod agent_settings;
mod backend_kind;
mod check;
mod check_listeners;
mod control_member;
mod control_settings;
mod control_start;
mod entry_limits;
mod entry_settings;
mod fleet_agent;
mod fleet_bounds;
mod fleet_control;
mod fleet_gateway;
mod fleet_links;
mod fleet_locality;
mod fleet_settings;
mod key_file;
mod link_key_settings;
mod reference;
mod role;
mod settings;
mod settings_error;
mod settings_text;
mod tls_settings;

pub use agent_settings::AgentSettings;
pub use backend_kind::BackendKind;
pub use control_member::ControlMember;
pub use control_settings::ControlSettings;
pub use control_start::ControlStart;
pub use entry_limits::EntryLimits;
pub use entry_settings::EntrySettings;
pub use fleet_agent::FleetAgent;
pub use fleet_bounds::FleetBounds;
pub use fleet_control::FleetControl;
pub use fleet_gateway::FleetGateway;
pub use fleet_links::FleetLinks;
pub use fleet_locality::FleetLocality;
pub use fleet_settings::FleetSettings;
pub use key_file::{KeyFile, LINK_KEY_BYTES};
pub use link_key_settings::LinkKeySettings;
pub use reference::{fleet_reference, reference};
pub use role::Role;
pub use settings::Settings;
pub use settings_error::SettingsError;
pub use tls_settings::TlsSettings;
