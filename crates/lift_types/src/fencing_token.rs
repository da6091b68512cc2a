//! Fencing token of an order to an engine.

/// Number that increases with each load order. An engine treats an order with a lower token
/// than one it has already received as stale.
pub type FencingToken = u64;
