//! Traffic of a link.

/// Bytes that a link has carried each way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkTraffic {
    /// Towards the host or region.
    pub inbound: u64,
    /// Away from it.
    pub outbound: u64,
}
