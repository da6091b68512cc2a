//! Follows the policy: which version to fetch.

use std::{sync, time};

use crate::{agent, swarm_error, transfer};

use lift_transfer::{ActivationEvent, DownloadEvent};

/// Longest time between two looks at the policy, since a policy becomes unconfirmed by
/// time alone.
const LOOK_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Interval at which time-outs are checked during a transfer.
const CLOCK_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Pause before a failed question to control is repeated.
const RETRY: time::Duration = time::Duration::from_millis(250);

/// Compares the policy with the current transfer until the agent stops.
pub(crate) async fn follow(agent: sync::Arc<agent::Agent>) {
    let mut watch = agent.borders.control.watch();
    let mut current = None;
    loop {
        let view = watch.borrow_and_update().clone();
        let wanted = view.policy.version_at(&agent.location).cloned();
        let is_confirmed = view.is_confirmed(time::Instant::now());
        agent.activation_event(ActivationEvent::TargetVersion {
            version: wanted.clone().filter(|_| is_confirmed),
            revision: view.policy.revision,
        });
        if wanted != current {
            agent.change_target(wanted.clone());
            current = wanted;
        }
        tokio::select! {
            changed = watch.changed() => {
                if changed.is_err() {
                    tokio::time::sleep(LOOK_INTERVAL).await;
                }
            }
            () = tokio::time::sleep(LOOK_INTERVAL) => {}
        }
    }
}

/// Tells the download and the activation that time has passed.
pub(crate) async fn tick(agent: sync::Arc<agent::Agent>) {
    let mut interval = tokio::time::interval(CLOCK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let live = agent.live_requests();
        agent.current_transfer_event(DownloadEvent::Tick { live });
        agent.activation_event(ActivationEvent::Tick);
    }
}

/// Asks for the view of the swarm while a transfer is in progress.
pub(crate) async fn follow_view(agent: sync::Arc<agent::Agent>, version: lift_types::VersionId) {
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
        let pause = match agent.borders.swarm.view(req).await {
            Ok(view) => {
                agent.take_view(&version, view);
                agent.limits.view_interval
            }
            Err(_) => RETRY,
        };
        tokio::time::sleep(pause).await;
    }
}

impl agent::Agent {
    fn change_target(self: &sync::Arc<Self>, wanted: Option<lift_types::VersionId>) {
        self.status.send_modify(|status| {
            status.wanted = wanted.clone();
            status.chunks_held = 0;
            status.chunks = 0;
        });
        self.current_transfer_event(DownloadEvent::Superseded);
        *self.transfer.lock() = None;
        self.fresh.lock().clear();
        self.seeds.lock().clear();
        let Some(version) = wanted else {
            return;
        };
        slog::info!(self.log, "version wanted"; "version" => &version);
        let own = self.clone();
        self.spawn_until_stop(async move { own.start_transfer(version).await });
    }

    async fn start_transfer(self: sync::Arc<Self>, version: lift_types::VersionId) {
        let Some(manifest) = self.find_manifest(&version).await else {
            return;
        };
        let held = self.verified_positions(&manifest).await;
        if !self.is_wanted(&version) {
            return;
        }
        let transfer = transfer::Transfer::new(&self, manifest.clone());
        *self.transfer.lock() = Some(transfer);
        self.status.send_modify(|status| {
            status.chunks = manifest.chunks.len() as u32;
        });
        let held = held.into_iter().map(|chunk| DownloadEvent::Held { chunk });
        self.transfer_events(&version, held);
        let mut links = Vec::new();
        self.links
            .for_each(|shard| links.extend(shard.values().cloned()));
        for link in &links {
            self.link_up(link);
        }
        for link in &links {
            if link.interest.as_ref().is_some_and(|i| i.version == version) {
                self.bitmap(&version).map(|message| link.send(message));
            }
        }
        let own = self.clone();
        self.spawn_until_stop(follow_view(own, version));
    }

    fn is_wanted(&self, version: &lift_types::VersionId) -> bool {
        self.status.borrow().wanted.as_ref() == Some(version)
    }

    /// Gets the manifest of a version from disk or from control, and stores it. `None` where
    /// the version is no longer wanted.
    async fn find_manifest(
        &self,
        version: &lift_types::VersionId,
    ) -> Option<sync::Arc<lift_types::Manifest>> {
        while self.is_wanted(version) {
            if let Some(manifest) = self.ask_manifest(version).await {
                return Some(manifest);
            }
            tokio::time::sleep(RETRY).await;
        }
        None
    }

    /// Manifest of a version from disk or from control.
    pub(crate) async fn ask_manifest(
        &self,
        version: &lift_types::VersionId,
    ) -> Option<sync::Arc<lift_types::Manifest>> {
        let manifest = match self.versions.manifest(version) {
            Some(manifest) => manifest,
            None => {
                let asked = self.borders.control.manifest(version.clone()).await;
                sync::Arc::new(asked.ok()?)
            }
        };
        if manifest.check().is_err() || manifest.version != *version {
            self.counters.increment("manifest_invalid");
            return None;
        }
        let (versions, kept) = (self.versions.clone(), manifest.clone());
        let stored = Self::block(move || versions.insert(&kept)).await?;
        stored.is_ok().then_some(manifest)
    }

    /// Positions of the chunks that are stored already, verified before use.
    async fn verified_positions(
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
        Self::block(verify).await.unwrap_or_default()
    }

    fn take_view(
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
        *self.desired.lock() = by_host.into_values().collect();
        self.dial_now.notify_one();
        self.transfer_event(version, DownloadEvent::View(view));
        self.set_upstream_groups(version, groups);
    }

    /// Assembles and verifies the whole, then lets the activation proceed.
    pub(crate) async fn verify_whole(
        self: &sync::Arc<Self>,
        manifest: sync::Arc<lift_types::Manifest>,
    ) {
        let version = manifest.version.clone();
        match self.assemble(&manifest).await {
            Some(Ok(_)) => {
                slog::info!(self.log, "version held"; "version" => &version);
                let hash = manifest.whole;
                self.activation_event(ActivationEvent::Complete { version, hash });
            }
            Some(Err(error)) if *error.current_context() == swarm_error::SwarmError::Corrupt => {
                slog::error!(self.log, "whole does not match"; "version" => &version);
                self.counters.increment("whole_corrupt");
                self.transfer_event(&version, DownloadEvent::WeightsCorrupt);
            }
            _ => {
                slog::error!(self.log, "whole not assembled"; "version" => &version);
                self.counters.increment("whole_failed");
                tokio::time::sleep(RETRY).await;
                // Starts again from the chunks that are left.
                if self.is_wanted(&version) {
                    let own = self.clone();
                    self.spawn_until_stop(async move { own.start_transfer(version).await });
                }
            }
        }
    }
}
