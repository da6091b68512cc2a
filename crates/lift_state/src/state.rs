//! The replicated state.

use std::{collections, sync, time};

use crate::{
    audit_record, change_answers, change_reply, claim_group, claim_key, claim_reply, command,
    command_reply, config_change, config_state, registered_host, registration,
};

/// Key groups of claims. It is fixed, so that a snapshot can be read by any member.
pub const CLAIM_KEY_GROUPS: lift_types::KeyGroup = 64;

/// Shards of answers, versions and registrations. More than the threads that read them.
pub(crate) const SHARDS: usize = 16;

/// Numbers that only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) struct Counters {
    pub(crate) incarnation: lift_types::Incarnation,
    pub(crate) fencing: lift_types::FencingToken,
    pub(crate) claim_at: Option<time::SystemTime>,
}

/// Everything that the replicated log decides. Commands are applied one after another;
/// readers see each shard as of some command.
#[derive(Debug)]
pub struct State {
    pub(crate) config: lift_shard::Shards<config_state::ConfigState>,
    pub(crate) answers: lift_shard::Shards<change_answers::ChangeAnswers>,
    pub(crate) manifests:
        lift_shard::Shards<collections::HashMap<lift_types::VersionId, lift_types::Manifest>>,
    pub(crate) hosts: lift_shard::Shards<
        collections::HashMap<lift_types::HostId, registered_host::RegisteredHost>,
    >,
    pub(crate) counters: lift_shard::Shards<Counters>,
    pub(crate) claims: lift_shard::Shards<claim_group::ClaimGroup>,
}

impl State {
    /// Starts empty, at revision zero.
    pub fn new() -> Self {
        Self {
            config: lift_shard::Shards::new(1, |_| config_state::ConfigState::default()),
            answers: lift_shard::Shards::new(SHARDS, |_| change_answers::ChangeAnswers::default()),
            manifests: lift_shard::Shards::new(SHARDS, |_| collections::HashMap::new()),
            hosts: lift_shard::Shards::new(SHARDS, |_| collections::HashMap::new()),
            counters: lift_shard::Shards::new(1, |_| Counters::default()),
            claims: lift_shard::Shards::new(usize::from(CLAIM_KEY_GROUPS), |_| {
                claim_group::ClaimGroup::default()
            }),
        }
    }

    /// Applies one committed command.
    pub fn apply(&self, command: &command::Command) -> command_reply::CommandReply {
        match command {
            command::Command::Change { change, hash, at } => {
                command_reply::CommandReply::Change(self.change(change, *hash, *at))
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

    /// The current policy.
    pub fn policy(&self) -> sync::Arc<lift_types::Policy> {
        self.config
            .with_position(0, |config| sync::Arc::clone(&config.policy))
    }

    /// Accepted changes after a revision, oldest first.
    pub fn audit(
        &self,
        after: lift_types::Revision,
        limit: usize,
    ) -> Vec<audit_record::AuditRecord> {
        self.config
            .with_position(0, |config| config.audit(after, limit))
    }

    /// Known versions, oldest first.
    pub fn versions(&self) -> Vec<lift_types::VersionId> {
        self.config
            .with_position(0, |config| config.versions().to_vec())
    }

    /// Manifest of a version.
    pub fn manifest(&self, version: &str) -> Option<lift_types::Manifest> {
        self.manifests
            .with(version, |manifests| manifests.get(version).cloned())
    }

    /// Current incarnation of a host.
    pub fn incarnation(&self, host: lift_types::HostId) -> Option<lift_types::Incarnation> {
        self.hosts.with(&host, |hosts| hosts.get(&host)?.current())
    }

    /// Whether no agent was ever registered. Then no lease was ever given either.
    pub fn is_unregistered(&self) -> bool {
        self.counters.with_position(0, |c| c.incarnation) == 0
    }

    /// What is known of a claim.
    pub fn claim(&self, key: &claim_key::ClaimKey) -> Option<claim_reply::ClaimReply> {
        self.claims.with(key, |group| group.find(key))
    }

    /// Number of claims that are kept.
    pub fn claims(&self) -> usize {
        self.claims.fold(0, |sum, group| sum + group.len())
    }

    /// Log time of the last claim.
    pub fn last_claim_at(&self) -> Option<time::SystemTime> {
        self.counters.with_position(0, |c| c.claim_at)
    }

    fn change(
        &self,
        change: &config_change::ConfigChange,
        hash: lift_types::ChunkHash,
        at: time::SystemTime,
    ) -> change_reply::ChangeReply {
        let known = self
            .answers
            .with(&change.id, |answers| answers.find(&change.id).cloned());
        if let Some(known) = known {
            if known.hash == hash {
                return known.reply;
            }
            return change_reply::ChangeReply::Invalid {
                path: String::from("id"),
                problem: String::from("was used for another change; allowed: a new id"),
            };
        }
        let reply = self
            .config
            .with_position(0, |config| config.change(change, at));
        let answer = change_answers::ChangeAnswer {
            hash,
            reply: reply.clone(),
        };
        self.answers.with(&change.id, |answers| {
            answers.keep(change.id.clone(), answer, at);
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
        if let Some(known) = self.manifest(&manifest.version) {
            if known == *manifest {
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
        self.keep_manifest(manifest.clone());
        command_reply::CommandReply::Published
    }

    pub(crate) fn keep_manifest(&self, manifest: lift_types::Manifest) {
        let version = manifest.version.clone();
        self.manifests.with(&version, |manifests| {
            manifests.insert(version.clone(), manifest);
        });
    }

    fn register(&self, registration: &registration::Registration) -> lift_types::Incarnation {
        let host = registration.place.host;
        let known = self
            .hosts
            .with(&host, |hosts| hosts.get(&host)?.find(registration.start));
        if let Some(known) = known {
            return known;
        }
        let incarnation = self.counters.with_position(0, |c| {
            c.incarnation += 1;
            c.incarnation
        });
        self.hosts.with(&host, |hosts| {
            let registered = hosts.entry(host).or_default();
            registered.add(registration.start, incarnation);
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

    /// Log time never goes back, whatever the proposer's clock says.
    fn advance_claim_time(&self, at: time::SystemTime) -> time::SystemTime {
        self.counters.with_position(0, |c| {
            let at = c.claim_at.map_or(at, |last| last.max(at));
            c.claim_at = Some(at);
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
