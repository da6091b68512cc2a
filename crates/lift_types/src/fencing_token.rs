//! Fencing token of an order to an engine.

/// Orders the load orders to engines. An order with a lower token than one already seen is stale.
pub type FencingToken = u64;
