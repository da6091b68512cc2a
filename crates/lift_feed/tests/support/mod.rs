//! Control members and nodes for the tests of the feed.

// Each test file uses a part of it.
#![allow(dead_code)]

use std::{net, sync, time};

use lift_feed::{
    Confirmation, FeedClient, FeedPorts, FeedServer, FeedSource, FleetHead, FleetObserver,
    JoinAnswer, MemberCard, NamedWeights, Newcomer, NodeCard, NodeKind, NodeSetup,
};

pub(crate) const PATIENCE: time::Duration = time::Duration::from_secs(10);

/// Documents are numbers in this test.
#[derive(Debug)]
pub(crate) struct Codec;

impl lift_fleet::DocumentCodec for Codec {
    fn decode(&self, text: &[u8]) -> Result<lift_fleet::RoutingTable, lift_fleet::DocumentError> {
        let text = String::from_utf8_lossy(text);
        let unreadable = || lift_fleet::DocumentError::Unreadable(text.to_string());
        let version = text.trim().parse().map_err(|_| unreadable())?;
        Ok(lift_fleet::RoutingTable::builder(version).build()?)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Source {
    pub(crate) document: parking_lot::Mutex<Option<sync::Arc<lift_fleet::Document>>>,
    pub(crate) leads: sync::atomic::AtomicBool,
    /// What was named, and when the ages in it were right.
    weights: parking_lot::Mutex<Option<(time::Instant, NamedWeights)>>,
    pub(crate) evacuations: parking_lot::Mutex<lift_fleet::Evacuations>,
    /// Revision that is confirmed instead of that of the evacuations.
    pub(crate) confirmed_revision: parking_lot::Mutex<Option<u64>>,
}

impl Source {
    pub(crate) fn put(&self, version: u64) {
        let compressed = lift_feed::pack(version.to_string().as_bytes()).unwrap();
        let document = lift_fleet::Document {
            version,
            compressed,
        };
        *self.document.lock() = Some(sync::Arc::new(document));
    }

    /// Names weights, whose ages grow from now on.
    pub(crate) fn name(&self, named: NamedWeights) {
        *self.weights.lock() = Some((time::Instant::now(), named));
    }

    fn named(&self) -> Option<NamedWeights> {
        let (at, mut named) = self.weights.lock().clone()?;
        let ages = named
            .earlier
            .iter_mut()
            .map(|earlier| &mut earlier.named_for);
        for age in ages.chain([&mut named.named_for]).flatten() {
            *age += at.elapsed();
        }
        Some(named)
    }

    pub(crate) fn lead(&self, leads: bool) {
        self.leads.store(leads, sync::atomic::Ordering::SeqCst);
    }
}

#[async_trait::async_trait]
impl FeedSource for Source {
    fn members(&self) -> (Vec<MemberCard>, u64) {
        (Vec::new(), 0)
    }

    fn head(&self) -> FleetHead {
        let named = self.named().map(|named| (String::from("m"), named));
        FleetHead {
            document: self.document().map_or(0, |d| d.version),
            weights: named.into_iter().collect(),
            evacuations: self.evacuations.lock().clone(),
        }
    }

    fn document(&self) -> Option<sync::Arc<lift_fleet::Document>> {
        self.document.lock().clone()
    }

    fn backends(&self) -> Vec<lift_fleet::BackendRecord> {
        vec![record("known")]
    }

    fn confirm(&self) -> Option<Confirmation> {
        let leads = self.leads.load(sync::atomic::Ordering::SeqCst);
        let confirmed_revision = *self.confirmed_revision.lock();
        let held_revision = self.evacuations.lock().revision();
        leads.then(|| Confirmation {
            document: self.head().document,
            evacuations: confirmed_revision.unwrap_or(held_revision),
        })
    }

    async fn join(&self, _newcomer: Newcomer) -> JoinAnswer {
        JoinAnswer::Joined(4)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Observer {
    pub(crate) tables: parking_lot::Mutex<Vec<u64>>,
    pub(crate) confirmed: parking_lot::Mutex<Option<time::Instant>>,
    pub(crate) weights: parking_lot::Mutex<Vec<(u64, Option<time::Instant>)>>,
    pub(crate) nodes: parking_lot::Mutex<Vec<NodeCard>>,
    pub(crate) round_trips: parking_lot::Mutex<Vec<time::Duration>>,
    pub(crate) backends: parking_lot::Mutex<Vec<lift_fleet::BackendRecord>>,
    pub(crate) sightings: parking_lot::Mutex<Vec<lift_fleet::PartSighting>>,
    pub(crate) evacuations: parking_lot::Mutex<Vec<lift_fleet::Evacuations>>,
    /// Counters of the node.
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
}

impl FleetObserver for Observer {
    fn on_unanswered(&self, _: net::SocketAddr, waited: time::Duration) {
        self.round_trips.lock().push(waited);
    }

    fn on_table(&self, table: sync::Arc<lift_fleet::RoutingTable>) {
        self.tables.lock().push(table.version());
    }

    fn on_backends(&self, records: Vec<lift_fleet::BackendRecord>) {
        self.backends.lock().extend(records);
    }

    fn on_confirmed(&self, at: time::Instant) {
        *self.confirmed.lock() = Some(at);
    }

    fn on_evacuations(&self, evacuations: &lift_fleet::Evacuations) {
        self.evacuations.lock().push(evacuations.clone());
    }

    fn on_weights(&self, _: &String, version: u64, named_at: Option<time::Instant>) {
        self.weights.lock().push((version, named_at));
    }

    fn on_part_sightings(&self, sightings: Vec<lift_fleet::PartSighting>) {
        self.sightings.lock().extend(sightings);
    }

    fn on_nodes(&self, nodes: Vec<NodeCard>) {
        *self.nodes.lock() = nodes;
    }
}

pub(crate) fn record(id: &str) -> lift_fleet::BackendRecord {
    let announcement = lift_fleet::Announcement {
        id: String::from(id),
        started_at: time::SystemTime::UNIX_EPOCH,
        sequence: 1,
        service: String::from("s"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        failure_domain: String::from("d"),
        slots: 8,
        state: lift_fleet::BackendState::Ready,
        warmup_left: time::Duration::ZERO,
        models: Vec::new(),
    };
    lift_fleet::BackendRecord {
        announcement,
        is_silent: false,
    }
}

pub(crate) fn keys() -> lift_wire::LinkKeys {
    lift_wire::LinkKeys::new(lift_wire::LinkKey::new(1, [7; 32]))
}

pub(crate) fn card(host: net::Ipv4Addr) -> NodeCard {
    NodeCard {
        kind: NodeKind::Gateway,
        location: lift_types::Location {
            region: String::from("r"),
            failure_domain: String::from("d"),
            host: u32::from(host),
        },
        service: None,
        incarnation: 1,
        load_addr: None,
        piece_addr: None,
    }
}

/// Hosts of this test are loopback addresses, which share one range of ports.
pub(crate) fn ports() -> FeedPorts {
    FeedPorts::new(17_400..=17_403).unwrap()
}

pub(crate) struct Member {
    pub(crate) source: sync::Arc<Source>,
    pub(crate) server: sync::Arc<FeedServer>,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    pub(crate) stop: tokio_util::sync::CancellationToken,
}

impl Member {
    pub(crate) async fn start(host: [u8; 4]) -> Self {
        let source = sync::Arc::new(Source::default());
        let counters = sync::Arc::new(lift_obs::Counters::new());
        let server = sync::Arc::new(FeedServer::new(
            source.clone(),
            keys(),
            lift_obs::LogConfig::discard(),
            sync::Arc::clone(&counters),
        ));
        let address = ports().feed(net::IpAddr::from(host));
        let listener = tokio::net::TcpListener::bind(address).await.unwrap();
        let stop = tokio_util::sync::CancellationToken::new();
        tokio::spawn(sync::Arc::clone(&server).run(listener, stop.clone()));
        Self {
            source,
            server,
            counters,
            stop,
        }
    }

    pub(crate) fn put(&self, version: u64) {
        self.source.put(version);
        self.server.push_head(self.source.head());
    }
}

pub(crate) fn client(
    observer: &sync::Arc<Observer>,
    host: [u8; 4],
    seeds: &[[u8; 4]],
) -> FeedClient {
    client_of(NodeKind::Gateway, observer, host, seeds)
}

pub(crate) fn client_of(
    kind: NodeKind,
    observer: &sync::Arc<Observer>,
    host: [u8; 4],
    seeds: &[[u8; 4]],
) -> FeedClient {
    let seeds = seeds.iter().map(|ip| net::SocketAddr::from((*ip, 1)));
    let card = card(net::Ipv4Addr::from(host));
    let node = NodeSetup::builder()
        .card(NodeCard { kind, ..card })
        .ports(ports())
        .seeds(seeds.collect())
        .keys(keys())
        .codec(sync::Arc::new(Codec))
        .counters(sync::Arc::clone(&observer.counters))
        .build();
    FeedClient::start(node.unwrap(), observer.clone())
}

pub(crate) async fn until(what: &str, condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, waiting).await;
    assert!(waited.is_ok(), "{what}");
}
