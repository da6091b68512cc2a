//! What a gateway observed about parts of prompts.

use crate::{backend_id, prompt_part};

/// What happened to a request with certain parts in its prompt. Gateways share observations,
/// since a part that crashes backend servers may reach each gateway only once or twice.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PartObservation {
    /// A backend server ended while it worked on a request with these parts (the last, which is
    /// the request's own, left out).
    Crash {
        /// The backend server that ended. One process ends only once, so several crashes of the
        /// same one are the same event.
        backend: backend_id::BackendId,
        /// Parts of the prompt, in their order.
        parts: Vec<prompt_part::PromptPart>,
    },
    /// An answer to a request with this part was complete.
    Answered {
        /// One part of the prompt, which did not crash the server.
        part: prompt_part::PromptPart,
    },
}
