//! A service.

use crate::{engine_shape, origin_place};

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: lift_types::ServiceId,
    /// Connections that one backend server accepts from all callers, 0 where unlimited.
    pub max_connections: u32,
    /// Engines, where the service answers from models.
    pub engine: Option<engine_shape::EngineShape>,
    /// Origin, where the service hands out weights.
    pub origin: Option<origin_place::OriginPlace>,
}
