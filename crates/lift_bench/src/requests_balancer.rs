//! The platform's balancer in the request experiment.

use std::{net, sync, sync::atomic};

/// Sends callers to entries that are ready. An entry that can't be reached is skipped by
/// its callers, since the balancer learns of a failure late.
#[derive(Debug, Default)]
pub(crate) struct RequestsBalancer {
    places: Vec<RequestsPlace>,
}

/// One entry as the balancer knows it.
#[derive(Clone, Debug)]
pub(crate) struct RequestsPlace {
    pub(crate) addr: net::SocketAddr,
    pub(crate) platform: sync::Arc<RequestsPlatform>,
}

/// The platform as one entry sees it.
#[derive(Debug, Default)]
pub(crate) struct RequestsPlatform {
    is_ready: atomic::AtomicBool,
}

impl RequestsBalancer {
    pub(crate) fn new(places: Vec<RequestsPlace>) -> Self {
        Self { places }
    }

    /// Picks the entry of a try. Later tries go to other entries.
    pub(crate) fn pick(&self, request: u64, attempt: usize) -> net::SocketAddr {
        let start = request as usize + attempt;
        let in_turn = (0..self.places.len()).map(|i| &self.places[(start + i) % self.places.len()]);
        let ready = in_turn.clone().find(|place| place.platform.is_ready());
        let found = ready.or_else(|| in_turn.clone().next());
        found.map_or(
            net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0)),
            |place| place.addr,
        )
    }
}

impl RequestsPlatform {
    pub(crate) fn is_ready(&self) -> bool {
        self.is_ready.load(atomic::Ordering::Acquire)
    }
}

#[async_trait::async_trait]
impl lift_border::Platform for RequestsPlatform {
    async fn set_readiness(
        &self,
        readiness: lift_border::Readiness,
    ) -> Result<(), error_stack::Report<lift_border::PlatformError>> {
        let is_ready = readiness == lift_border::Readiness::Ready;
        self.is_ready.store(is_ready, atomic::Ordering::Release);
        Ok(())
    }
}
