//! Roles of a node.

/// A role that a node can take. A node takes one or more of them.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    schemars::JsonSchema,
    strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Accepts callers' requests, offers the administration API and relays control operations.
    Entry,
    /// Fetches weights, sends orders to the engine and forwards requests to a backend server.
    Agent,
    /// Holds the replicated log and the durable state.
    Control,
}
