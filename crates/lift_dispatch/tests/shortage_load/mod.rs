//! Gateways, engines and callers of several kinds in virtual time.

mod caller;
mod deployment;
mod engine;
mod fleet;
mod gateway;
mod tally;

pub(crate) use deployment::Deployment;
pub(crate) use fleet::{Fleet, Outcome};
pub(crate) use tally::Tally;
