//! Backend servers, an origin and a control member for the tests of agents.

mod engine;
mod fleet;
mod origin;

pub(crate) use engine::Engine;
pub(crate) use fleet::Fleet;
pub(crate) use origin::Origin;
