//! What is known of the engines of a service.

use crate::model_name;

/// Figures of the engines behind a service, the same for all of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineShape {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens of prompts that an engine reads in a second.
    pub read_tokens_per_s: f64,
    /// Models that the engines serve.
    pub models: Vec<model_name::ModelName>,
    /// Number of pieces of one version of the weights.
    pub pieces: u32,
    /// Length of a piece, in bytes.
    pub piece_bytes: u32,
}
