//! Specification of the engines of a service.

use std::time;

use crate::{domain_delay, model_name};

/// Capacity and models of a service's engines, which are all alike.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Rate at which an engine reads prompts, in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Length of a typical prompt, in tokens.
    pub typical_prompt_tokens: u32,
    /// Models that the engines serve.
    pub models: Vec<model_name::ModelName>,
    /// Number of pieces into which one version of the weights is split.
    pub pieces: u32,
    /// Length of a piece, in bytes.
    pub piece_bytes: u32,
    /// Delays between failure domains, where they are known.
    pub delays: Vec<domain_delay::DomainDelay>,
}

impl EngineSpec {
    /// Time in which an engine reads a typical prompt. `None` if the rate or the length is unset
    /// or invalid.
    pub fn prefill_time(&self) -> Option<time::Duration> {
        let seconds = f64::from(self.typical_prompt_tokens) / self.prefill_tokens_per_s;
        let prefill_time = time::Duration::try_from_secs_f64(seconds).ok()?;
        (!prefill_time.is_zero()).then_some(prefill_time)
    }
}
