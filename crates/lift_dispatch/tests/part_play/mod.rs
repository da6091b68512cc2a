//! A fleet of gateways and backend servers, in steps of simulated time, in which requests with one
//! part of a prompt crash the backend servers.

mod counts;
mod play;
mod request;

pub(crate) use play::{DEADLY, Play};
