//! Target version of this host: reads it from the policy and runs its transfer.

use std::{sync, time};

use crate::{agent, swarm_error, transfer};

use lift_transfer::{ActivationEvent, DownloadEvent};

/// Maximum time between two checks of the policy. A policy that control does not confirm in
/// time becomes unconfirmed without a notification.
const POLICY_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Interval of `Tick` events, on which timeouts are checked.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Pause before a failed manifest or view request, or a failed assembly, is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(250);

/// Applies the target version of the policy until the agent stops. The transfer follows each
/// change; the activation gets no target version while the policy is unconfirmed.
pub(crate) async fn follow_policy(agent: sync::Arc<agent::Agent>) {
    let mut watch = agent.ports.control.watch();
    let mut current = None;
    loop {
        let view = watch.borrow_and_update().clone();
        let target_version = view.policy.version_at(&agent.location).cloned();
        let is_confirmed = view.is_confirmed(time::Instant::now());
        agent.handle_activation_event(ActivationEvent::TargetVersion {
            version: target_version.clone().filter(|_| is_confirmed),
            revision: view.policy.revision,
        });
        if target_version != current {
            agent.change_target(target_version.clone());
            current = target_version;
        }
        tokio::select! {
            changed = watch.changed() => {
                if changed.is_err() {
                    tokio::time::sleep(POLICY_CHECK_INTERVAL).await;
                }
            }
            () = tokio::time::sleep(POLICY_CHECK_INTERVAL) => {}
        }
    }
}

/// Sends periodic `Tick` events to the download and the activation.
pub(crate) async fn send_ticks(agent: sync::Arc<agent::Agent>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let live = agent.live_requests();
        agent.handle_current_download_event(DownloadEvent::Tick { live });
        agent.handle_activation_event(ActivationEvent::Tick);
    }
}

/// Requests the view of the swarm periodically until the download of `version` is complete or
/// another transfer replaces it.
pub(crate) async fn poll_view(agent: sync::Arc<agent::Agent>, version: lift_types::VersionId) {
    loop {
        let is_current = {
            let transfer = agent.transfer.lock();
            let current = transfer.as_ref().filter(|t| t.version == version);
            current.is_some_and(|t| !t.download.is_complete())
        };
        if !is_current {
            return;
        }
        let req = lift_transfer::SwarmViewRequest {
            location: agent.location.clone(),
            incarnation: agent.incarnation,
            version: version.clone(),
        };
        let pause = match agent.ports.swarm.view(req).await {
            Ok(view) => {
                agent.apply_view(&version, view);
                agent.limits.view_interval
            }
            Err(_) => RETRY_DELAY,
        };
        tokio::time::sleep(pause).await;
    }
}

impl agent::Agent {
    fn change_target(self: &sync::Arc<Self>, target_version: Option<lift_types::VersionId>) {
        self.status.send_modify(|status| {
            status.target_version = target_version.clone();
            status.chunks_held = 0;
            status.chunks = 0;
        });
        self.handle_current_download_event(DownloadEvent::Superseded);
        *self.transfer.lock() = None;
        self.unannounced.lock().clear();
        self.staggered_announcements.lock().clear();
        let Some(version) = target_version else {
            return;
        };
        slog::info!(self.log, "target version changed"; "version" => &version);
        let own = self.clone();
        self.spawn_until_stop(async move { own.start_transfer(version).await });
    }

    async fn start_transfer(self: sync::Arc<Self>, version: lift_types::VersionId) {
        let Some(manifest) = self.wait_for_manifest(&version).await else {
            return;
        };
        let held = self.verified_chunks(&manifest).await;
        if !self.is_target_version(&version) {
            return;
        }
        let transfer = transfer::Transfer::new(&self, manifest.clone());
        *self.transfer.lock() = Some(transfer);
        self.status.send_modify(|status| {
            status.chunks = manifest.chunks.len() as u32;
        });
        let held = held.into_iter().map(|chunk| DownloadEvent::Held { chunk });
        self.handle_download_events(&version, held);
        let mut links = Vec::new();
        self.links
            .for_each(|shard| links.extend(shard.values().cloned()));
        for link in &links {
            self.handle_link_up(link);
        }
        for link in &links {
            if link.interest.as_ref().is_some_and(|i| i.version == version) {
                self.bitmap_message(&version)
                    .map(|message| link.send(message));
            }
        }
        let own = self.clone();
        self.spawn_until_stop(poll_view(own, version));
    }

    fn is_target_version(&self, version: &lift_types::VersionId) -> bool {
        self.status.borrow().target_version.as_ref() == Some(version)
    }

    /// Returns the manifest of a version and retries until it is found, or `None` if the version
    /// is no longer the target version.
    async fn wait_for_manifest(
        &self,
        version: &lift_types::VersionId,
    ) -> Option<sync::Arc<lift_types::Manifest>> {
        while self.is_target_version(version) {
            if let Some(manifest) = self.find_manifest(version).await {
                return Some(manifest);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        None
    }

    /// Returns the manifest of a version from disk or from control and stores it. Returns `None`
    /// if it is not available, invalid or can't be stored.
    pub(crate) async fn find_manifest(
        &self,
        version: &lift_types::VersionId,
    ) -> Option<sync::Arc<lift_types::Manifest>> {
        let manifest = match self.versions.manifest(version) {
            Some(manifest) => manifest,
            None => {
                let fetched = self.ports.control.manifest(version.clone()).await;
                sync::Arc::new(fetched.ok()?)
            }
        };
        if manifest.check().is_err() || manifest.version != *version {
            self.counters.increment("manifest_invalid");
            return None;
        }
        let (versions, kept) = (self.versions.clone(), manifest.clone());
        let stored = Self::run_blocking(move || versions.insert(&kept)).await?;
        stored.is_ok().then_some(manifest)
    }

    /// Verifies the stored chunks of a version and returns the indices of the valid ones.
    async fn verified_chunks(
        &self,
        manifest: &sync::Arc<lift_types::Manifest>,
    ) -> Vec<lift_types::ChunkIndex> {
        let (chunks, manifest) = (self.chunks.clone(), manifest.clone());
        let verify = move || {
            let all = manifest.chunks.iter().enumerate();
            all.filter(|(_, hash)| chunks.verify(hash).unwrap_or_default())
                .map(|(i, _)| i as lift_types::ChunkIndex)
                .collect()
        };
        Self::run_blocking(verify).await.unwrap_or_default()
    }

    fn apply_view(
        self: &sync::Arc<Self>,
        version: &lift_types::VersionId,
        view: lift_transfer::SwarmView,
    ) {
        let upstreams = view.home_groups.iter().filter_map(|g| match &g.upstream {
            lift_transfer::Upstream::Origin => None,
            lift_transfer::Upstream::Peer(peer) => Some(peer),
        });
        let all = view.neighbours.iter().chain(upstreams);
        let mut groups = indexmap::IndexMap::<_, Vec<_>>::new();
        for home in &view.home_groups {
            if let lift_transfer::Upstream::Peer(peer) = &home.upstream {
                groups
                    .entry(peer.location.host)
                    .or_default()
                    .push(home.group);
            }
        }
        let by_host: indexmap::IndexMap<_, _> =
            all.map(|peer| (peer.location.host, peer.clone())).collect();
        *self.desired_peers.lock() = by_host.into_values().collect();
        self.dial_now.notify_one();
        self.handle_download_event(version, DownloadEvent::View(view));
        self.set_upstream_groups(version, groups);
    }

    /// Assembles and verifies the complete weights, and reports the version to the activation as
    /// complete. Reports corrupt weights to the download, and restarts the transfer after another
    /// failure.
    pub(crate) async fn verify_weights(
        self: &sync::Arc<Self>,
        manifest: sync::Arc<lift_types::Manifest>,
    ) {
        let version = manifest.version.clone();
        match self.assemble(&manifest).await {
            Some(Ok(_)) => {
                slog::info!(self.log, "version complete"; "version" => &version);
                let hash = manifest.whole;
                self.handle_activation_event(ActivationEvent::Complete { version, hash });
            }
            Some(Err(error)) if *error.current_context() == swarm_error::SwarmError::Corrupt => {
                slog::error!(self.log, "weights do not match their hash"; "version" => &version);
                self.counters.increment("whole_corrupt");
                self.handle_download_event(&version, DownloadEvent::WeightsCorrupt);
            }
            _ => {
                slog::error!(self.log, "failed to assemble weights"; "version" => &version);
                self.counters.increment("whole_failed");
                tokio::time::sleep(RETRY_DELAY).await;
                // Restarts the transfer with the chunks that are still stored.
                if self.is_target_version(&version) {
                    let own = self.clone();
                    self.spawn_until_stop(async move { own.start_transfer(version).await });
                }
            }
        }
    }
}
