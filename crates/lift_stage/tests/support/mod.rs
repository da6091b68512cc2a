//! Backend servers, an origin and a control member for the tests of agents.

// Each test file uses a part of the support.
#![allow(dead_code, unused_imports)]

mod engine;
mod fleet;
mod hold;
mod origin;
mod until;

pub(crate) use engine::Engine;
pub(crate) use fleet::Fleet;
pub(crate) use hold::Hold;
pub(crate) use origin::Origin;
pub(crate) use until::until;
