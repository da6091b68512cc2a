//! What is wrong with the link of a host.

use std::time;

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing is wrong.
    #[default]
    None,
    /// Bytes arrive later.
    Delay(time::Duration),
    /// Nothing reaches the host, but what it sends gets through.
    CutInbound,
    /// Nothing that the host sends gets through.
    CutOutbound,
    /// Nothing gets through either way, and connections stay open.
    Silent,
}

impl LinkFault {
    /// Whether bytes get through in this direction.
    pub(crate) fn passes(self, is_inbound: bool) -> bool {
        match self {
            Self::None | Self::Delay(_) => true,
            Self::CutInbound => !is_inbound,
            Self::CutOutbound => is_inbound,
            Self::Silent => false,
        }
    }

    /// How much later bytes arrive.
    pub(crate) fn delay(self) -> time::Duration {
        match self {
            Self::Delay(delay) => delay,
            _ => time::Duration::ZERO,
        }
    }
}
