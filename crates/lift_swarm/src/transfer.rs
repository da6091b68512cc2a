//! The transfer in progress at one agent.

use std::{sync, time};

use crate::{agent, peer_link};

/// Download of the wanted version, with the positions of each chunk by content.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) version: lift_types::VersionId,
    pub(crate) manifest: sync::Arc<lift_types::Manifest>,
    pub(crate) download: lift_transfer::Download,
    positions: indexmap::IndexMap<lift_types::ChunkHash, Vec<lift_types::ChunkIndex>>,
    /// Key groups that are read from agents in other regions.
    upstream_groups: UpstreamGroups,
}

/// Key groups by the agent that they are read from.
type UpstreamGroups = indexmap::IndexMap<lift_types::HostId, Vec<lift_types::KeyGroup>>;

impl Transfer {
    pub(crate) fn new(agent: &agent::Agent, manifest: sync::Arc<lift_types::Manifest>) -> Self {
        let mut positions = indexmap::IndexMap::<_, Vec<_>>::new();
        for (i, hash) in manifest.chunks.iter().enumerate() {
            positions
                .entry(*hash)
                .or_default()
                .push(i as lift_types::ChunkIndex);
        }
        let cfg = agent.limits.download.clone();
        Self {
            version: manifest.version.clone(),
            download: lift_transfer::Download::new(&agent.location, manifest.clone(), cfg),
            manifest,
            positions,
            upstream_groups: UpstreamGroups::new(),
        }
    }

    /// What an agent at `location` is asked about: all chunks in the own region, and in another
    /// region the groups that are read from it.
    fn interest(
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

    /// Positions of a chunk in the version.
    pub(crate) fn positions(&self, hash: &lift_types::ChunkHash) -> &[lift_types::ChunkIndex] {
        self.positions.get(hash).map_or(&[], Vec::as_slice)
    }
}

impl agent::Agent {
    /// Gives an event to the download of `version`, if it is still the current one, and
    /// carries out what it asks for.
    pub(crate) fn transfer_event(
        self: &sync::Arc<Self>,
        version: &lift_types::VersionId,
        event: lift_transfer::DownloadEvent,
    ) {
        self.transfer_events(version, [event]);
    }

    /// Gives several events to the download under one lock.
    pub(crate) fn transfer_events(
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
            self.perform_transfer(&manifest, action);
        }
    }

    /// Gives an event to the current download, whichever it is.
    pub(crate) fn current_transfer_event(
        self: &sync::Arc<Self>,
        event: lift_transfer::DownloadEvent,
    ) {
        let version = self.transfer.lock().as_ref().map(|t| t.version.clone());
        if let Some(version) = version {
            self.transfer_event(&version, event);
        }
    }

    fn perform_transfer(
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
                        own.fetch_origin(manifest, chunk).await;
                    }),
                    Source::Peer(host) => self.request(host, &manifest, chunk),
                }
            }
            Action::Cancel { chunk, source } => {
                let hash = manifest.chunks.get(chunk as usize).copied();
                if let (Source::Peer(host), Some(hash)) = (source, hash) {
                    self.tell(host, lift_wire::ChunkMessage::Cancel { hash });
                }
            }
            Action::VerifyWeights => {
                let own = self.clone();
                let manifest = manifest.clone();
                self.spawn_until_stop(async move { own.verify_whole(manifest).await });
            }
        }
    }

    fn request(
        self: &sync::Arc<Self>,
        host: lift_types::HostId,
        manifest: &lift_types::Manifest,
        chunk: lift_types::ChunkIndex,
    ) {
        let Some(hash) = manifest.chunks.get(chunk as usize).copied() else {
            return;
        };
        // A request that can't be sent is answered by the end of the link.
        self.tell(host, lift_wire::ChunkMessage::Request { hash });
    }

    /// Announces a new link to the download, and the download to the other end.
    pub(crate) fn link_up(self: &sync::Arc<Self>, link: &peer_link::PeerLink) {
        let region = &self.location.region;
        let found = {
            let transfer = self.transfer.lock();
            let transfer = transfer.as_ref();
            transfer.map(|t| (t.version.clone(), t.interest(region, &link.location)))
        };
        let Some((version, interest)) = found else {
            return;
        };
        let location = link.location.clone();
        self.transfer_event(&version, lift_transfer::DownloadEvent::PeerUp { location });
        interest.map(|message| link.send(message));
    }

    /// Asks the agents in other regions about the groups that are read from them, where
    /// these have changed.
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
            self.tell(host, lift_wire::ChunkMessage::Interest { version, groups });
        }
    }

    /// Announces the end of a link.
    pub(crate) fn link_down(self: &sync::Arc<Self>, host: lift_types::HostId) {
        self.uploads.lock().remove_host(host);
        self.current_transfer_event(lift_transfer::DownloadEvent::PeerDown { host });
    }
}
