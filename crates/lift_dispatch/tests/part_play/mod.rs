//! A fleet of gateways and backend servers, in steps of simulated time, in which requests with one
//! part of a prompt, or certain whole requests, crash the backend servers.

#![allow(dead_code, unused_imports)]

mod counts;
mod play;
mod request;
mod traffic;

pub(crate) use play::{DEADLY, Play};
pub(crate) use traffic::Traffic;
