//! Why an order to a host was not carried out.

/// Failure of an order to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FleetError {
    /// This entry does not know the host.
    #[error("this entry knows no host {0}; ask an entry of the host's region")]
    UnknownHost(lift_types::HostId),
    /// The host did not confirm the order.
    #[error("host {0} did not confirm the order")]
    Unconfirmed(lift_types::HostId),
}
