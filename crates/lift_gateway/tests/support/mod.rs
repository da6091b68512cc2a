//! Backend servers and a control member for the tests of a gateway.

// Each test file uses a part of the support.
#![allow(dead_code, unused_imports)]

mod backend;
mod codec;
mod dialect;
mod fleet;
mod old_caller;
mod pausing_backend;
mod raw_caller;
mod source;

pub(crate) use backend::{Backend, Reply, Step};
pub(crate) use fleet::{Fleet, MODEL, limits};
pub(crate) use old_caller::{call_as_old_caller, call_as_old_caller_after};
pub(crate) use pausing_backend::PausingBackend;
pub(crate) use raw_caller::{call_raw, send_raw};
