//! A fleet of one control member and one gateway.

use std::{net, sync, time};

use http_body_util::BodyExt as _;

use super::{backend, codec, dialect, source};

/// Limits of the gateways in these tests.
pub(crate) fn limits() -> lift_gateway::GatewayLimits {
    lift_gateway::GatewayLimits {
        confirmation: lift_dispatch::ConfirmationLimits {
            serving: time::Duration::from_millis(1_500),
            denial: time::Duration::from_millis(700),
        },
        shutdown_delay: time::Duration::from_millis(500),
        ..lift_gateway::GatewayLimits::default()
    }
}

/// A gateway and its control member, on loopback addresses of one subnet.
pub(crate) struct Fleet {
    pub(crate) gateway: lift_gateway::Gateway,
    pub(crate) counters: sync::Arc<lift_obs::Counters>,
    source: sync::Arc<source::Source>,
    feed: sync::Arc<lift_feed::FeedServer>,
    callers: net::SocketAddr,
    readiness: net::SocketAddr,
}

impl Fleet {
    pub(crate) async fn start(subnet: u8, backends: &[&backend::Backend]) -> Self {
        Self::start_with(subnet, backends, limits()).await
    }

    pub(crate) async fn start_with(
        subnet: u8,
        backends: &[&backend::Backend],
        limits: lift_gateway::GatewayLimits,
    ) -> Self {
        let ports = lift_feed::FeedPorts::new(17_600..=17_603).unwrap();
        let member = net::IpAddr::from([127, 0, subnet, 1]);
        let host = net::Ipv4Addr::new(127, 0, subnet, 2);
        let keys = lift_wire::LinkKeys::new(lift_wire::LinkKey::new(1, [7; 32]));
        let source = sync::Arc::new(source::Source::default());
        source.is_leader.store(true, sync::atomic::Ordering::SeqCst);
        let log = lift_obs::LogConfig::discard();
        let feed =
            lift_feed::FeedServer::new(source.clone(), keys.clone(), log, sync::Arc::default());
        let feed = sync::Arc::new(feed);
        let listener = tokio::net::TcpListener::bind(ports.feed(member))
            .await
            .unwrap();
        let stop = tokio_util::sync::CancellationToken::new();
        tokio::spawn(sync::Arc::clone(&feed).run(listener, stop));
        let callers = net::SocketAddr::from((host, 17_604));
        let readiness = net::SocketAddr::from((host, 17_605));
        let card = lift_feed::NodeCard {
            kind: lift_feed::NodeKind::Gateway,
            location: lift_types::Location {
                region: String::from("r"),
                failure_domain: String::from("d"),
                host: u32::from(host),
            },
            service: None,
            incarnation: 1,
            load_addr: Some(ports.loads(net::IpAddr::from(host))),
            piece_addr: None,
        };
        let counters = sync::Arc::<lift_obs::Counters>::default();
        let node = lift_feed::NodeSetup::builder()
            .card(card)
            .ports(ports)
            .seeds(vec![net::SocketAddr::new(member, 1)])
            .keys(keys)
            .codec(sync::Arc::new(codec::Codec))
            .counters(counters.clone())
            .build();
        let gateway = lift_gateway::Gateway::builder()
            .node(node.unwrap())
            .callers(callers)
            .readiness(readiness)
            .failure_domain(String::from("d"), String::from("r"))
            .dialect(sync::Arc::new(dialect::TestDialect))
            .limits(limits)
            .start()
            .await
            .unwrap();
        let fleet = Self {
            gateway,
            counters,
            source,
            feed,
            callers,
            readiness,
        };
        for backend in backends {
            fleet.announce(backend, 1);
        }
        let waiting = async {
            while fleet.ready().await != 200 {
                tokio::time::sleep(time::Duration::from_millis(5)).await;
            }
        };
        let limit = time::Duration::from_secs(10);
        assert!(
            tokio::time::timeout(limit, waiting).await.is_ok(),
            "not ready"
        );
        fleet
    }

    /// Sets whether the control member is the leader, which can confirm the configuration.
    pub(crate) fn set_leader(&self, is_leader: bool) {
        self.source
            .is_leader
            .store(is_leader, sync::atomic::Ordering::SeqCst);
    }

    pub(crate) fn announce(&self, backend: &backend::Backend, sequence: u64) {
        self.set_state(backend, sequence, lift_fleet::BackendState::Ready);
    }

    pub(crate) fn drain(&self, backend: &backend::Backend, sequence: u64) {
        self.set_state(backend, sequence, lift_fleet::BackendState::Draining);
    }

    fn set_state(
        &self,
        backend: &backend::Backend,
        sequence: u64,
        state: lift_fleet::BackendState,
    ) {
        let announcement = lift_fleet::Announcement {
            id: format!("s{}", backend.address.port()),
            started_at: time::SystemTime::UNIX_EPOCH,
            sequence,
            service: String::from("s"),
            address: backend.address,
            failure_domain: String::from("d"),
            slots: 8,
            state,
            warmup_left: time::Duration::ZERO,
            models: Vec::new(),
        };
        let record = lift_fleet::BackendRecord {
            announcement,
            is_silent: false,
        };
        let mut backends = self.source.backends.lock();
        backends.retain(|existing| existing.announcement.id != record.announcement.id);
        backends.push(record.clone());
        self.feed.push_backends(vec![record]);
    }

    pub(crate) async fn call(&self, route: &str, id: &str) -> (u16, String) {
        self.call_with_key(route, id, codec::KEY).await
    }

    pub(crate) async fn call_with_key(&self, route: &str, id: &str, key: &str) -> (u16, String) {
        self.send(route, id, key).await.unwrap()
    }

    pub(crate) async fn try_call(&self, route: &str, id: &str) -> Result<(u16, String), String> {
        self.send(route, id, codec::KEY).await
    }

    /// Calls while `second` is draining, so that `first` gets the request, and then announces
    /// `second` as ready. Equal servers would be selected at random.
    pub(crate) async fn call_preferring(
        &self,
        first: &backend::Backend,
        second: &backend::Backend,
        route: &str,
        id: &str,
    ) -> (u16, String) {
        self.drain(second, 3);
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        let calling = self.call(route, id);
        let adding = async {
            while first.received().is_empty() {
                tokio::time::sleep(time::Duration::from_millis(1)).await;
            }
            self.announce(second, 4);
        };
        tokio::join!(calling, adding).0
    }

    /// Address for callers.
    pub(crate) fn callers(&self) -> net::SocketAddr {
        self.callers
    }

    /// Status of the readiness check, 0 if there is no response.
    pub(crate) async fn ready(&self) -> u16 {
        let got = get(self.readiness, http::Request::new(String::new())).await;
        got.map_or(0, |(status, _)| status)
    }

    /// Calls with the parts of a prompt, separated by commas.
    pub(crate) async fn call_with_parts(
        &self,
        route: &str,
        id: &str,
        parts: &str,
    ) -> Result<(u16, String), String> {
        let req = request(route, id, codec::KEY).header("x-parts", parts);
        get(self.callers, req.body(String::new()).unwrap()).await
    }

    async fn send(&self, route: &str, id: &str, key: &str) -> Result<(u16, String), String> {
        let req = request(route, id, key).body(String::new());
        get(self.callers, req.unwrap()).await
    }
}

fn request(route: &str, id: &str, key: &str) -> http::request::Builder {
    http::Request::builder()
        .uri(format!("/{route}/x"))
        .header("host", "h")
        .header("x-id", id)
        .header("x-key", key)
}

async fn get(
    address: net::SocketAddr,
    mut req: http::Request<String>,
) -> Result<(u16, String), String> {
    req.headers_mut()
        .entry("host")
        .or_insert(http::HeaderValue::from_static("h"));
    let stream = tokio::net::TcpStream::connect(address).await;
    let io = hyper_util::rt::TokioIo::new(stream.map_err(|e| e.to_string())?);
    let handshake = hyper::client::conn::http1::handshake(io).await;
    let (mut sender, connection) = handshake.map_err(|e| e.to_string())?;
    let running = tokio::spawn(connection);
    let response = sender.send_request(req).await.map_err(|e| e.to_string())?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await;
    running.abort();
    let body = body.map_err(|e| e.to_string())?.to_bytes();
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
