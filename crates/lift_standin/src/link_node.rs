//! One end of the links.

use std::sync;

use tokio::sync as tokio_sync;
use tokio_util::sync as util_sync;

use crate::{link_rate, link_state};

/// A host or the origin, with the rates of its link.
#[derive(Debug)]
pub(crate) struct LinkNode {
    /// Region, `None` for the origin and for callers, which are in no region.
    pub(crate) region: Option<lift_types::RegionId>,
    pub(crate) inbound: Option<sync::Arc<link_rate::LinkRate>>,
    pub(crate) outbound: Option<sync::Arc<link_rate::LinkRate>>,
    pub(crate) state: tokio_sync::watch::Sender<link_state::LinkState>,
    /// Cancelled to stall the connections that are open now; later ones work.
    pub(crate) stall: parking_lot::Mutex<util_sync::CancellationToken>,
}

impl LinkNode {
    pub(crate) fn new(
        region: Option<lift_types::RegionId>,
        inbound: Option<u64>,
        outbound: Option<u64>,
    ) -> Self {
        let rate = |rate: Option<u64>| rate.map(link_rate::LinkRate::new).map(sync::Arc::new);
        Self {
            region,
            inbound: rate(inbound),
            outbound: rate(outbound),
            state: tokio_sync::watch::channel(link_state::LinkState::Up).0,
            stall: parking_lot::Mutex::default(),
        }
    }
}
