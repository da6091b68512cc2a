//! The replicated state machine.

use std::{collections, sync, time};

use crate::{
    audit_record, change_reply, claim_group, claim_key, claim_reply, command, command_reply,
    config_change, config_state, recent_changes, registered_host, registration,
};

/// Number of key groups for claims. It is fixed, so that every member can read the snapshots of
/// the others.
pub const CLAIM_KEY_GROUPS: lift_types::KeyGroup = 64;

/// Number of shards for recent changes, manifests and registrations. It exceeds the number of
/// threads that read them.
pub(crate) const SHARDS: usize = 16;

/// Monotonic counters: the last incarnation and fencing token, and the log time of the last
/// claim.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) struct Counters {
    pub(crate) incarnation: lift_types::Incarnation,
    pub(crate) fencing: lift_types::FencingToken,
    pub(crate) last_claim_at: Option<time::SystemTime>,
}

/// State that results from the commands of the replicated log. Commands are applied one after
/// another. Readers may run at the same time. Each shard is consistent, but different shards can
/// reflect different commands.
#[derive(Debug)]
pub struct State {
    pub(crate) config: lift_shard::Shards<config_state::ConfigState>,
    pub(crate) recent_changes: lift_shard::Shards<recent_changes::RecentChanges>,
    pub(crate) manifests:
        lift_shard::Shards<collections::HashMap<lift_types::VersionId, lift_types::Manifest>>,
    pub(crate) hosts: lift_shard::Shards<
        collections::HashMap<lift_types::HostId, registered_host::RegisteredHost>,
    >,
    pub(crate) counters: lift_shard::Shards<Counters>,
    pub(crate) claims: lift_shard::Shards<claim_group::ClaimGroup>,
}

impl State {
    /// Creates an empty state at revision zero.
    pub fn new() -> Self {
        Self {
            config: lift_shard::Shards::new(1, |_| config_state::ConfigState::default()),
            recent_changes: lift_shard::Shards::new(SHARDS, |_| {
                recent_changes::RecentChanges::default()
            }),
            manifests: lift_shard::Shards::new(SHARDS, |_| collections::HashMap::new()),
            hosts: lift_shard::Shards::new(SHARDS, |_| collections::HashMap::new()),
            counters: lift_shard::Shards::new(1, |_| Counters::default()),
            claims: lift_shard::Shards::new(usize::from(CLAIM_KEY_GROUPS), |_| {
                claim_group::ClaimGroup::default()
            }),
        }
    }

    /// Returns to the empty state at revision zero. The caller must not apply commands meanwhile.
    pub fn clear(&self) {
        self.config.for_each(|config| *config = Default::default());
        self.recent_changes
            .for_each(|changes| *changes = Default::default());
        self.manifests.for_each(|manifests| manifests.clear());
        self.hosts.for_each(|hosts| hosts.clear());
        self.counters.for_each(|c| *c = Counters::default());
        self.claims.for_each(|group| *group = Default::default());
    }

    /// Applies one committed command.
    pub fn apply(&self, command: &command::Command) -> command_reply::CommandReply {
        match command {
            command::Command::Change { change, hash, at } => {
                command_reply::CommandReply::Change(self.apply_change(change, *hash, *at))
            }
            command::Command::Publish(manifest) => self.publish(manifest),
            command::Command::Register(registration) => {
                command_reply::CommandReply::Registered(self.register(registration))
            }
            command::Command::Fence { host, incarnation } => self.fence(*host, *incarnation),
            command::Command::Claim { req, at } => {
                let at = self.advance_claim_time(*at);
                let reply = self.claims.with(&req.key, |group| group.claim(req, at));
                command_reply::CommandReply::Claim(reply)
            }
            command::Command::Reassign(req) => {
                claim_or_missing(self.claims.with(&req.key, |group| group.reassign(req)))
            }
            command::Command::Record(req) => {
                claim_or_missing(self.claims.with(&req.key, |group| group.record(req)))
            }
        }
    }

    /// Returns the current policy.
    pub fn policy(&self) -> sync::Arc<lift_types::Policy> {
        self.config
            .with_position(0, |config| sync::Arc::clone(&config.policy))
    }

    /// Returns up to `limit` records of accepted changes after a revision, oldest first.
    pub fn audit(
        &self,
        after: lift_types::Revision,
        limit: usize,
    ) -> Vec<audit_record::AuditRecord> {
        self.config
            .with_position(0, |config| config.audit(after, limit))
    }

    /// Returns the published versions, oldest first.
    pub fn versions(&self) -> Vec<lift_types::VersionId> {
        self.config
            .with_position(0, |config| config.versions().to_vec())
    }

    /// Returns the manifest of a published version.
    pub fn manifest(&self, version: &str) -> Option<lift_types::Manifest> {
        self.manifests
            .with(version, |manifests| manifests.get(version).cloned())
    }

    /// Returns the current incarnation of a host, if an agent has registered there.
    pub fn incarnation(&self, host: lift_types::HostId) -> Option<lift_types::Incarnation> {
        self.hosts.with(&host, |hosts| hosts.get(&host)?.current())
    }

    /// Whether no agent has ever registered, in which case no lease was ever granted either.
    pub fn has_no_registrations(&self) -> bool {
        self.counters.with_position(0, |c| c.incarnation) == 0
    }

    /// Returns the status of a claim.
    pub fn find_claim(&self, key: &claim_key::ClaimKey) -> Option<claim_reply::ClaimReply> {
        self.claims.with(key, |group| group.find(key))
    }

    /// Returns the number of claims.
    pub fn claim_count(&self) -> usize {
        self.claims.fold(0, |sum, group| sum + group.len())
    }

    /// Returns the log time of the last claim.
    pub fn last_claim_at(&self) -> Option<time::SystemTime> {
        self.counters.with_position(0, |c| c.last_claim_at)
    }

    fn apply_change(
        &self,
        change: &config_change::ConfigChange,
        hash: lift_types::ChunkHash,
        at: time::SystemTime,
    ) -> change_reply::ChangeReply {
        let existing = self
            .recent_changes
            .with(&change.id, |changes| changes.find(&change.id).cloned());
        if let Some(existing) = existing {
            if existing.hash == hash {
                return existing.reply;
            }
            return change_reply::ChangeReply::Invalid {
                path: String::from("id"),
                problem: String::from("was used for another change; allowed: a new id"),
            };
        }
        let reply = self
            .config
            .with_position(0, |config| config.apply_change(change, at));
        let recent = recent_changes::RecentChange {
            hash,
            reply: reply.clone(),
        };
        self.recent_changes.with(&change.id, |changes| {
            changes.insert(change.id.clone(), recent, at);
        });
        reply
    }

    fn publish(&self, manifest: &lift_types::Manifest) -> command_reply::CommandReply {
        if let Err(error) = manifest.check() {
            return command_reply::CommandReply::Invalid {
                path: String::from("manifest"),
                problem: error.to_string(),
            };
        }
        if let Some(existing) = self.manifest(&manifest.version) {
            if existing == *manifest {
                return command_reply::CommandReply::Published;
            }
            return command_reply::CommandReply::Invalid {
                path: String::from("manifest.version"),
                problem: format!(
                    "{:?} is published with other contents; allowed: a new name",
                    manifest.version
                ),
            };
        }
        let removed = self
            .config
            .with_position(0, |config| config.add_version(manifest.version.clone()));
        if let Some(removed) = removed {
            self.manifests
                .with(&removed, |manifests| manifests.remove(&removed));
        }
        self.insert_manifest(manifest.clone());
        command_reply::CommandReply::Published
    }

    pub(crate) fn insert_manifest(&self, manifest: lift_types::Manifest) {
        let version = manifest.version.clone();
        self.manifests.with(&version, |manifests| {
            manifests.insert(version.clone(), manifest);
        });
    }

    fn register(&self, registration: &registration::Registration) -> lift_types::Incarnation {
        let host = registration.location.host;
        let existing = self
            .hosts
            .with(&host, |hosts| hosts.get(&host)?.find(registration.start_id));
        if let Some(existing) = existing {
            return existing;
        }
        let incarnation = self.counters.with_position(0, |c| {
            c.incarnation += 1;
            c.incarnation
        });
        self.hosts.with(&host, |hosts| {
            let registered = hosts.entry(host).or_default();
            registered.add(registration.start_id, incarnation);
        });
        incarnation
    }

    fn fence(
        &self,
        host: lift_types::HostId,
        incarnation: lift_types::Incarnation,
    ) -> command_reply::CommandReply {
        let Some(current) = self.incarnation(host) else {
            return command_reply::CommandReply::Missing;
        };
        if current != incarnation {
            return command_reply::CommandReply::Superseded(current);
        }
        let token = self.counters.with_position(0, |c| {
            c.fencing += 1;
            c.fencing
        });
        command_reply::CommandReply::Fenced(token)
    }

    /// Advances the log time to `at` and returns it. If `at` is earlier than that of the last
    /// claim, because the clock of a proposer is behind, the log time stays unchanged.
    fn advance_claim_time(&self, at: time::SystemTime) -> time::SystemTime {
        self.counters.with_position(0, |c| {
            let at = c.last_claim_at.map_or(at, |last| last.max(at));
            c.last_claim_at = Some(at);
            at
        })
    }
}

impl Default for State {
    fn default() -> Self {
        Self::new()
    }
}

fn claim_or_missing(reply: Option<claim_reply::ClaimReply>) -> command_reply::CommandReply {
    reply.map_or(
        command_reply::CommandReply::Missing,
        command_reply::CommandReply::Claim,
    )
}
