//! Requests of a play.

/// Requests that arrive in a second, and which of them crash backend servers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    /// Sound requests.
    pub(crate) sound: u64,
    /// Requests with the deadly part, no two alike.
    pub(crate) with_deadly_part: u64,
    /// Requests that are deadly as a whole, the same again and again.
    pub(crate) deadly: u64,
    /// How many different ones of the latter there are.
    pub(crate) deadly_kinds: u64,
    /// Whether gateways know the digests of requests.
    pub(crate) has_digests: bool,
    /// Whether no request has a prompt.
    pub(crate) is_plain: bool,
}
