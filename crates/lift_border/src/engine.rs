//! Orders to a model engine.

use std::fmt;

use crate::{engine_error, engine_status, load_order};

/// A model engine that loads weights on order.
#[async_trait::async_trait]
pub trait Engine: fmt::Debug + Send + Sync {
    /// Orders the engine to load a version and waits until it serves it.
    ///
    /// # Errors
    ///
    /// After an error the engine may serve nothing, the old or the new version; ask
    /// [`Engine::status`] before anything else.
    async fn load(
        &self,
        order: load_order::LoadOrder,
    ) -> Result<engine_status::EngineStatus, error_stack::Report<engine_error::EngineError>>;

    /// Orders the engine to serve nothing.
    ///
    /// # Errors
    ///
    /// Returns an error where the engine refused or could not be reached.
    async fn unload(
        &self,
        fencing: lift_types::FencingToken,
    ) -> Result<engine_status::EngineStatus, error_stack::Report<engine_error::EngineError>>;

    /// Asks what the engine serves.
    ///
    /// # Errors
    ///
    /// Returns an error where the engine could not be reached.
    async fn status(
        &self,
    ) -> Result<engine_status::EngineStatus, error_stack::Report<engine_error::EngineError>>;
}
