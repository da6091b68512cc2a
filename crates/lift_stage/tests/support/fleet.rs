//! A control member and an agent beside each backend server.

use std::{net, sync, time};

use lift_feed::FeedSource;

use super::{engine, origin};

/// Documents are built by the test, so the text does not matter.
#[derive(Debug)]
struct Codec;

impl lift_fleet::DocumentCodec for Codec {
    fn decode(&self, _: &[u8]) -> Result<lift_fleet::RoutingTable, lift_fleet::DocumentError> {
        let models = lift_fleet::Service {
            name: String::from("s"),
            max_connections: 0,
            warmup: None,
            engine: Some(lift_fleet::EngineSpec {
                models: vec![String::from("m")],
                ..lift_fleet::EngineSpec::default()
            }),
            origin: None,
        };
        let origin = lift_fleet::Service {
            name: String::from("o"),
            max_connections: 0,
            warmup: None,
            engine: None,
            origin: Some(lift_fleet::OriginEndpoint {
                address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
                failure_domain: String::from("d"),
                bytes_per_s: 10_000_000,
                max_connections: 8,
            }),
        };
        let table = lift_fleet::RoutingTable::builder(1);
        Ok(table.service(models).service(origin).build()?)
    }
}

#[derive(Debug, Default)]
struct Source {
    /// The target version, and when it was named.
    named: parking_lot::Mutex<Option<(u64, time::Instant)>>,
}

#[async_trait::async_trait]
impl FeedSource for Source {
    fn members(&self) -> (Vec<lift_feed::MemberCard>, u64) {
        (Vec::new(), 0)
    }

    fn head(&self) -> lift_feed::FleetHead {
        let weights = self.named.lock().map(|(version, at)| {
            let named = lift_feed::NamedWeights {
                version,
                named_for: Some(at.elapsed()),
                earlier: Vec::new(),
            };
            (String::from("m"), named)
        });
        lift_feed::FleetHead {
            document: 1,
            weights: weights.into_iter().collect(),
            evacuations: lift_fleet::Evacuations::default(),
        }
    }

    fn document(&self) -> Option<sync::Arc<lift_fleet::Document>> {
        let compressed = lift_feed::pack(b"1").unwrap();
        Some(sync::Arc::new(lift_fleet::Document {
            version: 1,
            compressed,
        }))
    }

    fn backends(&self) -> Vec<lift_fleet::BackendRecord> {
        Vec::new()
    }

    fn confirm(&self) -> Option<lift_feed::Confirmation> {
        Some(lift_feed::Confirmation {
            document: 1,
            evacuations: 0,
        })
    }

    async fn join(&self, _: lift_feed::Newcomer) -> lift_feed::JoinAnswer {
        lift_feed::JoinAnswer::Later
    }
}

/// Agents and their control member, on loopback addresses of one subnet.
pub(crate) struct Fleet {
    source: sync::Arc<Source>,
    feed: sync::Arc<lift_feed::FeedServer>,
    /// Those of all agents together.
    counters: sync::Arc<lift_obs::Counters>,
    _agents: Vec<lift_stage::StageAgent>,
}

impl Fleet {
    pub(crate) async fn start(
        subnet: u8,
        origin: &origin::Origin,
        engines: &[engine::Engine],
    ) -> Self {
        let grace = time::Duration::from_millis(500);
        Self::start_with_grace(subnet, origin, engines, grace).await
    }

    /// Starts agents whose servers may use an older version for `grace`.
    pub(crate) async fn start_with_grace(
        subnet: u8,
        origin: &origin::Origin,
        engines: &[engine::Engine],
        grace: time::Duration,
    ) -> Self {
        let ports = lift_feed::FeedPorts::new(17_700..=17_703).unwrap();
        let member = net::IpAddr::from([127, 0, subnet, 1]);
        let keys = lift_wire::LinkKeys::new(lift_wire::LinkKey::new(1, [7; 32]));
        let source = sync::Arc::new(Source::default());
        let feed = lift_feed::FeedServer::new(
            source.clone(),
            keys.clone(),
            lift_obs::LogConfig::discard(),
            sync::Arc::default(),
        );
        let feed = sync::Arc::new(feed);
        let listener = tokio::net::TcpListener::bind(ports.feed(member))
            .await
            .unwrap();
        let stop = tokio_util::sync::CancellationToken::new();
        tokio::spawn(sync::Arc::clone(&feed).run(listener, stop));
        let counters = sync::Arc::<lift_obs::Counters>::default();
        let mut agents = Vec::new();
        for (number, engine) in (2..).zip(engines) {
            let host = net::Ipv4Addr::new(127, 0, subnet, number);
            let card = lift_feed::NodeCard {
                kind: lift_feed::NodeKind::Agent,
                location: lift_types::Location {
                    region: String::from("r"),
                    failure_domain: String::from("d"),
                    host: u32::from(host),
                },
                service: Some(String::from("s")),
                incarnation: 1,
                load_addr: None,
                piece_addr: Some(ports.pieces(net::IpAddr::from(host))),
            };
            let node = lift_feed::NodeSetup::builder()
                .card(card)
                .ports(ports)
                .seeds(vec![net::SocketAddr::new(member, 1)])
                .keys(keys.clone())
                .codec(sync::Arc::new(Codec))
                .counters(sync::Arc::clone(&counters))
                .build();
            let agent = lift_stage::StageAgent::builder()
                .node(node.unwrap())
                .backend(net::SocketAddr::from((host, 1)))
                .stage(sync::Arc::new(engine.clone()))
                .origin(sync::Arc::new(origin.clone()))
                .weights_grace(grace)
                .start()
                .await;
            agents.push(agent.unwrap());
        }
        // The agents hear of each other before a version is named.
        tokio::time::sleep(time::Duration::from_millis(400)).await;
        Self {
            source,
            feed,
            counters,
            _agents: agents,
        }
    }

    /// Value of a counter of all agents together.
    pub(crate) fn counted(&self, name: &str) -> u64 {
        self.counters.value(name)
    }

    /// Names a version.
    pub(crate) fn name(&self, version: u64) {
        *self.source.named.lock() = Some((version, time::Instant::now()));
        self.feed.push_head(self.source.head());
    }
}
