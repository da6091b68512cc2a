//! Backend servers and a control member for the tests of a gateway.

mod backend;
mod dialect;
mod fleet;

pub(crate) use backend::{Backend, Reply};
pub(crate) use fleet::Fleet;
