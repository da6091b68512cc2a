//! Gateways and engines in virtual time.

// Each test file uses a part of the support.
#![allow(dead_code, unused_imports)]

mod engine;
mod fleet;
mod load;
mod outcome;

pub(crate) use engine::Engine;
pub(crate) use fleet::Fleet;
pub(crate) use load::Load;
pub(crate) use outcome::Outcome;
