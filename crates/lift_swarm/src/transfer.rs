//! The transfer in progress at one agent.

use std::{sync, time};

use crate::{agent, peer_link};

/// Download of the target version, with the indices of each chunk by content hash.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) version: lift_types::VersionId,
    pub(crate) manifest: sync::Arc<lift_types::Manifest>,
    pub(crate) download: lift_transfer::Download,
    indices: indexmap::IndexMap<lift_types::ChunkHash, Vec<lift_types::ChunkIndex>>,
    /// Key groups that are fetched from agents in other regions.
    upstream_groups: UpstreamGroups,
}

/// Key groups by the agent that they are fetched from.
type UpstreamGroups = indexmap::IndexMap<lift_types::HostId, Vec<lift_types::KeyGroup>>;

impl Transfer {
    pub(crate) fn new(agent: &agent::Agent, manifest: sync::Arc<lift_types::Manifest>) -> Self {
        let mut indices = indexmap::IndexMap::<_, Vec<_>>::new();
        for (i, hash) in manifest.chunks.iter().enumerate() {
            indices
                .entry(*hash)
                .or_default()
                .push(i as lift_types::ChunkIndex);
        }
        let cfg = agent.limits.download.clone();
        Self {
            version: manifest.version.clone(),
            download: lift_transfer::Download::new(&agent.location, manifest.clone(), cfg),
            manifest,
            indices,
            upstream_groups: UpstreamGroups::new(),
        }
    }

    /// Returns the interest to send to an agent at `location`: all chunks for an agent in this
    /// region, otherwise the key groups fetched from that agent, or `None` if there are none.
    fn interest_message(
        &self,
        region: &str,
        location: &lift_types::Location,
    ) -> Option<lift_wire::ChunkMessage> {
        let groups = if location.region == region {
            None
        } else {
            Some(self.upstream_groups.get(&location.host)?.clone())
        };
        let version = self.version.clone();
        Some(lift_wire::ChunkMessage::Interest { version, groups })
    }

    /// Returns the indices at which a chunk occurs in the version.
    pub(crate) fn chunk_indices(&self, hash: &lift_types::ChunkHash) -> &[lift_types::ChunkIndex] {
        self.indices.get(hash).map_or(&[], Vec::as_slice)
    }
}

impl agent::Agent {
    /// Passes an event to the download of `version`, if it is still the current one, and
    /// carries out the actions that it returns.
    pub(crate) fn handle_download_event(
        self: &sync::Arc<Self>,
        version: &lift_types::VersionId,
        event: lift_transfer::DownloadEvent,
    ) {
        self.handle_download_events(version, [event]);
    }

    /// Passes several events to the download of `version` under one acquisition of its lock.
    pub(crate) fn handle_download_events(
        self: &sync::Arc<Self>,
        version: &lift_types::VersionId,
        events: impl IntoIterator<Item = lift_transfer::DownloadEvent>,
    ) {
        let now = time::Instant::now();
        let (manifest, actions, held) = {
            let mut transfer = self.transfer.lock();
            let Some(transfer) = transfer.as_mut().filter(|t| t.version == *version) else {
                return;
            };
            let mut actions = Vec::new();
            for event in events {
                actions.extend(transfer.download.step(now, event, &mut rand::rng()));
            }
            let held = transfer.download.held_count() as u32;
            (transfer.manifest.clone(), actions, held)
        };
        self.status
            .send_if_modified(|status| std::mem::replace(&mut status.chunks_held, held) != held);
        for action in actions {
            self.perform_download_action(&manifest, action);
        }
    }

    /// Passes an event to the current download, if there is one.
    pub(crate) fn handle_current_download_event(
        self: &sync::Arc<Self>,
        event: lift_transfer::DownloadEvent,
    ) {
        let version = self.transfer.lock().as_ref().map(|t| t.version.clone());
        if let Some(version) = version {
            self.handle_download_event(&version, event);
        }
    }

    fn perform_download_action(
        self: &sync::Arc<Self>,
        manifest: &sync::Arc<lift_types::Manifest>,
        action: lift_transfer::DownloadAction,
    ) {
        use lift_transfer::{DownloadAction as Action, Source};
        match action {
            Action::Request { chunk, source } => {
                let own = self.clone();
                let manifest = manifest.clone();
                match source {
                    Source::Origin => self.spawn_until_stop(async move {
                        own.fetch_chunk(manifest, chunk).await;
                    }),
                    Source::Peer(host) => self.request_chunk(host, &manifest, chunk),
                }
            }
            Action::Cancel { chunk, source } => {
                let hash = manifest.chunks.get(chunk as usize).copied();
                if let (Source::Peer(host), Some(hash)) = (source, hash) {
                    self.send_to(host, lift_wire::ChunkMessage::Cancel { hash });
                }
            }
            Action::VerifyWeights => {
                let own = self.clone();
                let manifest = manifest.clone();
                self.spawn_until_stop(async move { own.verify_weights(manifest).await });
            }
        }
    }

    fn request_chunk(
        self: &sync::Arc<Self>,
        host: lift_types::HostId,
        manifest: &lift_types::Manifest,
        chunk: lift_types::ChunkIndex,
    ) {
        let Some(hash) = manifest.chunks.get(chunk as usize).copied() else {
            return;
        };
        // If the request can't be sent, the link has ended or is being closed. The `PeerDown`
        // event, or `PeerUp` of a new link, then marks the chunk as needed again.
        self.send_to(host, lift_wire::ChunkMessage::Request { hash });
    }

    /// Reports a new link to the download, and sends the interest of the download over it.
    pub(crate) fn handle_link_up(self: &sync::Arc<Self>, link: &peer_link::PeerLink) {
        let region = &self.location.region;
        let found = {
            let transfer = self.transfer.lock();
            let transfer = transfer.as_ref();
            transfer.map(|t| {
                (
                    t.version.clone(),
                    t.interest_message(region, &link.location),
                )
            })
        };
        let Some((version, interest)) = found else {
            return;
        };
        let location = link.location.clone();
        self.handle_download_event(&version, lift_transfer::DownloadEvent::PeerUp { location });
        interest.map(|message| link.send(message));
    }

    /// Stores the key groups fetched from agents in other regions, and sends the new interest to
    /// those agents whose groups have changed.
    pub(crate) fn set_upstream_groups(
        &self,
        version: &lift_types::VersionId,
        groups: UpstreamGroups,
    ) {
        let changed: Vec<_> = {
            let mut transfer = self.transfer.lock();
            let Some(transfer) = transfer.as_mut().filter(|t| t.version == *version) else {
                return;
            };
            let old = std::mem::replace(&mut transfer.upstream_groups, groups);
            let new = transfer.upstream_groups.iter();
            new.filter(|(host, groups)| old.get(*host) != Some(*groups))
                .map(|(host, groups)| (*host, groups.clone()))
                .collect()
        };
        for (host, groups) in changed {
            let version = version.clone();
            let groups = Some(groups);
            self.send_to(host, lift_wire::ChunkMessage::Interest { version, groups });
        }
    }

    /// Removes the queued uploads of a host whose link has ended, and reports the end to the
    /// download.
    pub(crate) fn handle_link_down(self: &sync::Arc<Self>, host: lift_types::HostId) {
        self.uploads.lock().remove_host(host);
        self.handle_current_download_event(lift_transfer::DownloadEvent::PeerDown { host });
    }
}
