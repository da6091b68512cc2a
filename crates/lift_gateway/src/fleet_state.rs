//! State of the fleet.

use std::{net, sync, time};

use crate::locality;

/// State of the fleet according to the feed. The routing table and the backend servers are
/// replaced as a whole, so that readers only clone an `Arc`.
#[derive(Debug)]
pub(crate) struct FleetState {
    table: parking_lot::RwLock<Option<sync::Arc<lift_fleet::RoutingTable>>>,
    ranks: parking_lot::RwLock<lift_dispatch::ServiceRanks>,
    confirmed_at: parking_lot::RwLock<Option<time::Instant>>,
    directory: parking_lot::Mutex<lift_fleet::Directory>,
    /// Locked after the directory only.
    evacuations: parking_lot::Mutex<lift_fleet::Evacuations>,
    backends: parking_lot::RwLock<sync::Arc<lift_dispatch::ServiceBackends>>,
    target_versions: parking_lot::Mutex<lift_dispatch::TargetVersions>,
    gateways: parking_lot::RwLock<sync::Arc<lift_dispatch::GatewayShares>>,
    gateway_count: parking_lot::Mutex<lift_dispatch::GatewayCount>,
    regions: indexmap::IndexMap<lift_types::FailureDomainId, lift_types::RegionId>,
    locality: locality::Locality,
}

impl FleetState {
    /// Creates an empty state. `locality` has no services yet. `regions` maps failure domains to
    /// their regions.
    pub(crate) fn new(
        weights_grace: time::Duration,
        regions: indexmap::IndexMap<lift_types::FailureDomainId, lift_types::RegionId>,
        locality: locality::Locality,
    ) -> Self {
        Self {
            table: parking_lot::RwLock::default(),
            ranks: parking_lot::RwLock::default(),
            confirmed_at: parking_lot::RwLock::default(),
            directory: parking_lot::Mutex::default(),
            evacuations: parking_lot::Mutex::default(),
            backends: parking_lot::RwLock::default(),
            target_versions: parking_lot::Mutex::new(lift_dispatch::TargetVersions::new(
                weights_grace,
            )),
            gateways: parking_lot::RwLock::default(),
            gateway_count: parking_lot::Mutex::default(),
            regions,
            locality,
        }
    }

    /// The configuration in force. `None` until the first one has been received.
    pub(crate) fn table(&self) -> Option<sync::Arc<lift_fleet::RoutingTable>> {
        self.table.read().clone()
    }

    /// Place of `rank` among the ranks of a service. `None` if all of its requests have the same.
    pub(crate) fn rank(
        &self,
        service: &str,
        rank: lift_dispatch::RequestRank,
    ) -> Option<lift_dispatch::RankPlace> {
        self.ranks.read().place(service, rank)
    }

    /// Time in which an engine of the service reads a typical prompt. Zero if the service has no
    /// engines or the time is unknown.
    pub(crate) fn prefill_time(&self, service: &str) -> time::Duration {
        let table = self.table.read();
        let service = table.as_ref().and_then(|table| table.service(service));
        let engine = service.and_then(|service| service.engine.as_ref());
        engine
            .and_then(lift_fleet::EngineSpec::prefill_time)
            .unwrap_or_default()
    }

    /// Costs of the ways to the backend servers of a service. `None` if another region has a fixed
    /// cost.
    pub(crate) fn distances(&self, service: &str) -> Option<sync::Arc<lift_dispatch::Distances>> {
        self.locality.distances(service)
    }

    /// Division of the backend servers of a service between regions. `None` if it is fixed.
    pub(crate) fn balance(&self, service: &str) -> Option<sync::Arc<lift_dispatch::RegionBalance>> {
        self.locality.balance(service)
    }

    /// Age of the last confirmation of the configuration. `None` before the first one.
    pub(crate) fn confirmation_age(&self, now: time::Instant) -> Option<time::Duration> {
        let at = *self.confirmed_at.read();
        at.map(|at| now.saturating_duration_since(at))
    }

    /// Backend servers of each service.
    pub(crate) fn backends(&self) -> sync::Arc<lift_dispatch::ServiceBackends> {
        sync::Arc::clone(&self.backends.read())
    }

    /// Lowest versions of a model's weights on which a request that takes `duration` may start: the
    /// version for most backend servers, and the version for those that may start it late.
    pub(crate) fn min_versions(
        &self,
        now: time::Instant,
        model: &str,
        duration: time::Duration,
    ) -> (lift_fleet::WeightsVersion, lift_fleet::WeightsVersion) {
        let target_versions = self.target_versions.lock();
        (
            target_versions.min_version_to_finish(now, model, duration),
            target_versions.min_version_if_slow(now, model),
        )
    }

    /// Time until which a request on `version` of a model must have started. `None` if no newer
    /// target version was set.
    pub(crate) fn start_deadline(
        &self,
        model: &str,
        version: lift_fleet::WeightsVersion,
    ) -> Option<time::Instant> {
        self.target_versions.lock().start_deadline(model, version)
    }

    /// Time until which a backend server that holds `version` of a model may work on a request that
    /// is sent at `now`. `None` if its version limits that no further than the caller does.
    pub(crate) fn work_deadline(
        &self,
        now: time::Instant,
        model: &str,
        version: lift_fleet::WeightsVersion,
    ) -> Option<time::Instant> {
        self.target_versions
            .lock()
            .work_deadline(now, model, version)
    }

    /// Time since the target version was set that replaces `version` of a model. `None` if there is
    /// no newer one.
    pub(crate) fn superseded_for(
        &self,
        now: time::Instant,
        model: &str,
        version: lift_fleet::WeightsVersion,
    ) -> Option<time::Duration> {
        self.target_versions
            .lock()
            .superseded_for(now, model, version)
    }

    /// Gateways that share the backend servers, this one included.
    pub(crate) fn gateways(&self) -> sync::Arc<lift_dispatch::GatewayShares> {
        sync::Arc::clone(&self.gateways.read())
    }

    /// Number of gateways that may use a limit over all of them. `None` before any are known.
    pub(crate) fn gateway_count(&self, now: time::Instant) -> Option<u32> {
        self.gateway_count.lock().largest(now)
    }

    pub(crate) fn set_table(&self, table: sync::Arc<lift_fleet::RoutingTable>) {
        self.locality.set_table(&table);
        *self.ranks.write() = lift_dispatch::ServiceRanks::new(&table);
        *self.table.write() = Some(table);
    }

    pub(crate) fn set_confirmed_at(&self, at: time::Instant) {
        *self.confirmed_at.write() = Some(at);
    }

    /// Sets the gateways that are known. Returns their number before, `None` for the first list.
    pub(crate) fn set_gateways(
        &self,
        now: time::Instant,
        gateways: lift_dispatch::GatewayShares,
    ) -> Option<u32> {
        let before = self.gateway_count.lock().record(now, gateways.total());
        *self.gateways.write() = sync::Arc::new(gateways);
        self.rebalance();
        before
    }

    pub(crate) fn set_target_version(
        &self,
        now: time::Instant,
        model: &lift_fleet::ModelName,
        version: lift_fleet::WeightsVersion,
        not_before: Option<time::Instant>,
    ) {
        self.target_versions
            .lock()
            .set_target(now, model, version, not_before);
    }

    /// Applies records of backend servers. Calls `take_in` with those that have changed before they
    /// can be selected, in the order in which the directory takes them. Returns them.
    pub(crate) fn merge(
        &self,
        now: time::Instant,
        records: Vec<lift_fleet::BackendRecord>,
        take_in: impl FnOnce(&lift_fleet::Directory, &[lift_fleet::BackendRecord]),
    ) -> Vec<lift_fleet::BackendRecord> {
        let mut directory = self.directory.lock();
        let mut changed = records;
        changed.retain(|record| directory.merge(now, record) == lift_fleet::UpdateOutcome::Changed);
        if !changed.is_empty() {
            take_in(&directory, &changed);
            self.rebuild_backends(&directory);
        }
        changed
    }

    /// Calls `read` with the directory of backend servers, evacuated ones included.
    pub(crate) fn with_directory<R>(&self, read: impl FnOnce(&lift_fleet::Directory) -> R) -> R {
        read(&self.directory.lock())
    }

    /// Region of a failure domain. `None` if it is unknown.
    pub(crate) fn region(&self, failure_domain: &str) -> Option<&str> {
        self.regions.get(failure_domain).map(String::as_str)
    }

    /// Addresses of the backend servers whose failure domains are evacuated and would not be by
    /// `evacuations`.
    pub(crate) fn addresses_restored_by(
        &self,
        evacuations: &lift_fleet::Evacuations,
    ) -> Vec<net::SocketAddr> {
        let directory = self.directory.lock();
        let evacuated = self.evacuations.lock();
        let is_restored =
            |domain: &str| evacuated.contains(domain) && !evacuations.contains(domain);
        let announcements = directory.records().map(|record| &record.announcement);
        announcements
            .filter(|announcement| is_restored(&announcement.failure_domain))
            .map(|announcement| announcement.address)
            .collect()
    }

    /// Replaces the evacuated failure domains. Returns those before.
    pub(crate) fn set_evacuations(
        &self,
        evacuations: &lift_fleet::Evacuations,
    ) -> lift_fleet::Evacuations {
        let directory = self.directory.lock();
        let before = std::mem::replace(&mut *self.evacuations.lock(), evacuations.clone());
        self.rebuild_backends(&directory);
        before
    }

    /// Sets the backend servers that may get requests. The caller holds the lock of the directory,
    /// so that the newest ones stay.
    fn rebuild_backends(&self, directory: &lift_fleet::Directory) {
        let region_of = |domain: &str| self.regions.get(domain).cloned();
        let evacuations = self.evacuations.lock();
        let backends = lift_dispatch::ServiceBackends::new(directory, &evacuations, region_of);
        *self.backends.write() = sync::Arc::new(backends);
        self.rebalance();
    }

    /// Divides the backend servers between regions by the newest lists.
    fn rebalance(&self) {
        let newest = || (self.backends(), self.gateways());
        self.locality.balance_regions(&newest);
    }
}
