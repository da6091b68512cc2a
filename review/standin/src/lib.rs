//! Stand-ins for the review: processes of the fleet on loopback, an operator, clients and replicas.
//!
//! They follow `PROTOCOL.md`. Where that page is silent they behave like a sound server, client or
//! platform.

pub mod case;
pub mod client;
pub mod document;
pub mod fleet;
pub mod http;
pub mod model_replica;
pub mod origin;
pub mod record;
pub mod replica;
pub mod sha256;
pub mod weights;
