//! What a node has learned from control members.

use std::{net, sync, time};

use crate::{confirmation, fleet_head, known_members, named_weights, node_card};

/// Time after which a document is fetched over another connection. It covers the transfer of
/// a large one on a narrow link.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Age of a naming from which those before it no longer matter. Longer than settings can allow the
/// use of weights that were replaced.
const EARLIER_MAX_AGE: time::Duration = time::Duration::from_hours(48);

/// Merged state of all connections of a node. It decides; the connections carry out.
#[derive(Debug, Default)]
pub(crate) struct FeedState {
    pub(crate) members: known_members::KnownMembers,
    held: lift_fleet::DocumentVersion,
    /// When the document that is held was put in force.
    held_since: Option<time::Instant>,
    fetching: Option<(lift_fleet::DocumentVersion, time::Instant)>,
    /// A document that could not be decoded here. It is not fetched again.
    unreadable: lift_fleet::DocumentVersion,
    confirmed_at: Option<time::Instant>,
    /// When the last question was asked that the leader has answered, whatever is held here.
    leader_asked_at: Option<time::Instant>,
    evacuations: lift_fleet::Evacuations,
    weights: indexmap::IndexMap<lift_fleet::ModelName, lift_fleet::NamingTimes>,
    nodes: indexmap::IndexMap<net::SocketAddr, Nodes>,
    /// Nodes that any member knows. Each change of a node comes over all connections, and only
    /// the first one changes this.
    merged: Nodes,
}

type Nodes = indexmap::IndexMap<lift_types::HostId, node_card::NodeCard>;

impl FeedState {
    /// Takes in versions that a member has announced at `at` or later. Returns the namings that
    /// are news, those of one model from the oldest version to the newest.
    ///
    /// Members tell ages that are never too low, so of several the lowest tells most.
    pub(crate) fn learn_weights(
        &mut self,
        at: time::Instant,
        head: &fleet_head::FleetHead,
    ) -> Vec<(lift_fleet::ModelName, lift_fleet::Naming)> {
        let mut news = Vec::new();
        for (model, named) in &head.weights {
            let known = self.weights.entry(model.clone()).or_default();
            for (version, named_for) in namings_that_matter(named) {
                let not_before = named_for.and_then(|age| at.checked_sub(age));
                if known.learn(version, not_before) {
                    let naming = lift_fleet::Naming {
                        version,
                        not_before,
                    };
                    news.push((model.clone(), naming));
                }
            }
        }
        news
    }

    /// Whether the document `version` is to be fetched now over the connection that asks, no
    /// sooner than `interval` after the last one. The next confirmation asks again.
    pub(crate) fn start_fetch(
        &mut self,
        now: time::Instant,
        version: lift_fleet::DocumentVersion,
        interval: time::Duration,
    ) -> bool {
        if version <= self.held.max(self.unreadable) {
            return false;
        }
        let is_early = |since| now.saturating_duration_since(since) < interval;
        if self.held_since.is_some_and(is_early) {
            return false;
        }
        let is_under_way = self.fetching.is_some_and(|(fetched, since)| {
            fetched >= version && now.saturating_duration_since(since) < FETCH_TIMEOUT
        });
        if !is_under_way {
            self.fetching = Some((version, now));
        }
        !is_under_way
    }

    /// Whether a document that has arrived is news.
    pub(crate) fn is_newer(&self, version: lift_fleet::DocumentVersion) -> bool {
        version > self.held
    }

    /// Puts a decoded document in force.
    pub(crate) fn hold(&mut self, now: time::Instant, table: &sync::Arc<lift_fleet::RoutingTable>) {
        self.held = self.held.max(table.version());
        self.held_since = Some(now);
        self.fetching = None;
    }

    /// Notes that a document can't be decoded.
    pub(crate) fn refuse(&mut self, version: lift_fleet::DocumentVersion) {
        self.unreadable = self.unreadable.max(version);
        self.fetching = None;
    }

    /// Takes in the evacuations that a member knows. Returns whether they are news. Of several
    /// members, one that lags or whose message is late tells an older revision.
    pub(crate) fn learn_evacuations(&mut self, evacuations: &lift_fleet::Evacuations) -> bool {
        let is_news = self.is_behind(evacuations.revision());
        if is_news {
            self.evacuations = evacuations.clone();
        }
        is_news
    }

    /// Whether the evacuations that are held are older than `revision`.
    pub(crate) fn is_behind(&self, revision: lift_fleet::EvacuationRevision) -> bool {
        revision > self.evacuations.revision()
    }

    /// Takes in the confirmation that a state was in force at `asked_at`. Returns whether
    /// that confirms what is held here for longer than before.
    pub(crate) fn confirm(
        &mut self,
        asked_at: time::Instant,
        confirmation: confirmation::Confirmation,
    ) -> bool {
        let version = confirmation.document;
        let is_document_held = version > 0 && version <= self.held;
        let is_held = is_document_held && !self.is_behind(confirmation.evacuations);
        let is_later = self.confirmed_at.is_none_or(|at| asked_at > at);
        if is_held && is_later {
            self.confirmed_at = Some(asked_at);
        }
        is_held && is_later
    }

    /// Records that the leader has answered a question that was asked at `asked_at`.
    pub(crate) fn record_leader(&mut self, asked_at: time::Instant) {
        self.leader_asked_at = self.leader_asked_at.max(Some(asked_at));
    }

    /// When the last question was asked that the leader has answered.
    pub(crate) fn leader_asked_at(&self) -> Option<time::Instant> {
        self.leader_asked_at
    }

    /// Replaces the nodes that the member at `link` knows. Returns whether the nodes that any
    /// member knows have changed.
    pub(crate) fn set_nodes(
        &mut self,
        link: net::SocketAddr,
        nodes: Vec<node_card::NodeCard>,
    ) -> bool {
        let nodes = nodes.into_iter().map(|card| (card.location.host, card));
        self.nodes.insert(link, nodes.collect());
        let mut merged = Nodes::new();
        for nodes in self.nodes.values() {
            merged.extend(nodes.iter().map(|(host, card)| (*host, card.clone())));
        }
        let has_changed = merged != self.merged;
        self.merged = merged;
        has_changed
    }

    /// Adds a node that the member at `link` knows. Returns whether it is news.
    pub(crate) fn node_up(&mut self, link: net::SocketAddr, card: node_card::NodeCard) -> bool {
        let host = card.location.host;
        let is_news = self.merged.get(&host) != Some(&card);
        if is_news {
            self.merged.insert(host, card.clone());
        }
        self.nodes.entry(link).or_default().insert(host, card);
        is_news
    }

    /// Removes a node that has left the member at `link`. Returns whether no other member knows
    /// it.
    pub(crate) fn node_down(&mut self, link: net::SocketAddr, host: lift_types::HostId) -> bool {
        if let Some(nodes) = self.nodes.get_mut(&link) {
            nodes.swap_remove(&host);
        }
        let is_known = self.nodes.values().any(|nodes| nodes.contains_key(&host));
        !is_known && self.merged.swap_remove(&host).is_some()
    }

    /// Forgets what the member at `link` knows, unless no other member is connected: nodes
    /// go on with what they know while control is away.
    pub(crate) fn link_down(&mut self, link: net::SocketAddr) {
        if self.nodes.len() > 1 {
            self.nodes.swap_remove(&link);
        }
    }

    /// All nodes that any member knows.
    pub(crate) fn nodes(&self) -> Vec<node_card::NodeCard> {
        self.merged.values().cloned().collect()
    }
}

/// Versions that a member has named, with the times since then, the oldest first. Those are left
/// out that were named before one of long ago.
fn namings_that_matter(
    named: &named_weights::NamedWeights,
) -> impl Iterator<Item = (lift_fleet::WeightsVersion, Option<time::Duration>)> {
    let earlier = named.earlier.iter().map(|e| (e.version, e.named_for));
    let namings: Vec<_> = earlier.chain([(named.version, named.named_for)]).collect();
    let is_old = |age: Option<time::Duration>| age.is_some_and(|age| age >= EARLIER_MAX_AGE);
    let first = namings.iter().rposition(|(_, age)| is_old(*age));
    namings.into_iter().skip(first.unwrap_or_default())
}
