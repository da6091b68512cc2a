//! The backend server beside an agent.

use std::fmt;

use crate::{engine_report, order_answer, stage_error};

type Result<T> = std::result::Result<T, error_stack::Report<stage_error::StageError>>;

/// Reports, staging area and orders of one backend server.
#[async_trait::async_trait]
pub trait StagePort: fmt::Debug + Send + Sync {
    /// Asks for its state.
    async fn report(&self) -> Result<engine_report::EngineReport>;

    /// Positions of the pieces in the staging area of a model. Their content is not known.
    async fn staged(&self, model: &str) -> Result<Vec<lift_types::ChunkIndex>>;

    /// Reads a piece of at most `max_bytes` from the staging area, or `None` where there is none.
    async fn get_piece(
        &self,
        model: &str,
        index: lift_types::ChunkIndex,
        max_bytes: usize,
    ) -> Result<Option<bytes::Bytes>>;

    /// Puts a piece into the staging area, over any earlier one.
    async fn put_piece(
        &self,
        model: &str,
        index: lift_types::ChunkIndex,
        bytes: bytes::Bytes,
    ) -> Result<()>;

    /// Orders it to load what is staged as `version`, after the requests that run.
    async fn load(
        &self,
        model: &str,
        version: lift_fleet::WeightsVersion,
    ) -> Result<order_answer::OrderAnswer>;
}
