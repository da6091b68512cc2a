//! Gateways, engines and callers of several kinds in virtual time.

mod caller;
mod deployment;
mod document;
mod engine;
mod fleet;
mod gateway;
mod outcome;
mod random;
mod selection;
mod tally;

pub(crate) use deployment::Deployment;
pub(crate) use fleet::Fleet;
pub(crate) use outcome::Outcome;
pub(crate) use tally::Tally;
