//! A request at a backend server.

use std::time;

/// A request in progress.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Parts of the prompt and the digest.
    pub(crate) parts: Vec<lift_fleet::PromptPart>,
    pub(crate) is_deadly: bool,
    pub(crate) gateway: usize,
    pub(crate) server: usize,
    /// When its answer begins.
    pub(crate) begins: time::Instant,
    /// When its answer is complete.
    pub(crate) ends: time::Instant,
    pub(crate) is_repeat: bool,
}
