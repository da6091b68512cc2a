//! What is known of the engines of a service.

use std::time;

use crate::model_name;

/// Figures of the engines behind a service, the same for all of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineShape {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens of prompts that an engine reads in a second.
    pub read_tokens_per_s: f64,
    /// Length of the usual prompt, in tokens.
    pub usual_prompt: u32,
    /// Models that the engines serve.
    pub models: Vec<model_name::ModelName>,
    /// Number of pieces of one version of the weights.
    pub pieces: u32,
    /// Length of a piece, in bytes.
    pub piece_bytes: u32,
}

impl EngineShape {
    /// Time in which an engine reads the usual prompt. `None` where the figures don't tell.
    pub fn read_time(&self) -> Option<time::Duration> {
        let seconds = f64::from(self.usual_prompt) / self.read_tokens_per_s;
        let read_time = time::Duration::try_from_secs_f64(seconds).ok()?;
        (!read_time.is_zero()).then_some(read_time)
    }
}
