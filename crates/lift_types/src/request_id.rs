//! Identifier of a request.

/// Number that the sender assigns to a request, by which replies are matched to requests. Senders
/// number independently: an entry uses one sequence for all its connections, a client of control
/// operations one for each connection.
pub type RequestId = u64;
