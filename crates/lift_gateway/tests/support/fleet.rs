//! A fleet of one control member and one gateway.

use std::{net, sync, time};

use http_body_util::BodyExt as _;

use super::{backend, codec, dialect, source};

/// Model of the requests that name one.
pub(crate) const MODEL: &str = "m";

/// Limits of the gateways in these tests.
pub(crate) fn limits() -> lift_gateway::GatewayLimits {
    lift_gateway::GatewayLimits {
        confirmation: lift_dispatch::ConfirmationLimits {
            serving: time::Duration::from_millis(1_500),
            denial: time::Duration::from_millis(700),
        },
        // A new gateway has no burst of retries yet: here each request earns all of it.
        retry_ratio: lift_gateway::GatewayLimits::default().retry_burst,
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
    keys: lift_wire::LinkKeys,
    loads: net::SocketAddr,
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
        let loads = ports.loads(net::IpAddr::from(host));
        let card = lift_feed::NodeCard {
            kind: lift_feed::NodeKind::Gateway,
            location: lift_types::Location {
                region: String::from("r"),
                failure_domain: String::from("d"),
                host: u32::from(host),
            },
            service: None,
            incarnation: 1,
            load_addr: Some(loads),
            piece_addr: None,
        };
        let counters = sync::Arc::<lift_obs::Counters>::default();
        let node = lift_feed::NodeSetup::builder()
            .card(card)
            .ports(ports)
            .seeds(vec![net::SocketAddr::new(member, 1)])
            .keys(keys.clone())
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
            keys,
            loads,
            callers,
            readiness,
        };
        if backends.is_empty() {
            // A gateway is ready only if it knows a backend server.
            fleet.announce_weights(net::SocketAddr::from(([127, 0, 0, 1], 9)), 0);
        }
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

    /// Puts a document in force by which no server may run requests.
    pub(crate) async fn restrict_regions(&self) {
        self.replace_document(1).await;
    }

    pub(crate) async fn set_priorities(&self) {
        self.replace_document(2).await;
    }

    async fn replace_document(&self, versions: u64) {
        self.source
            .replaced
            .fetch_add(versions, sync::atomic::Ordering::SeqCst);
        let head = lift_feed::FeedSource::head(&*self.source);
        self.feed.push_head(head);
        // The gateway fetches the document.
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }

    /// Announces a backend server in another failure domain than that of the gateway.
    pub(crate) fn announce_in(&self, domain: &str, backend: &backend::Backend, sequence: u64) {
        self.publish(lift_fleet::Announcement {
            failure_domain: String::from(domain),
            ..announcement(backend.address, sequence, lift_fleet::BackendState::Ready)
        });
    }

    /// Evacuates a failure domain by the log entry at `revision`.
    pub(crate) async fn evacuate(&self, revision: u64, domain: &str) {
        self.source
            .evacuations
            .lock()
            .evacuate(revision, String::from(domain));
        self.push_head().await;
    }

    /// Restores a failure domain by the log entry at `revision`.
    pub(crate) async fn restore(&self, revision: u64, domain: &str) {
        self.source.evacuations.lock().restore(revision, domain);
        self.push_head().await;
    }

    async fn push_head(&self) {
        self.feed
            .push_head(lift_feed::FeedSource::head(&*self.source));
        // The gateway takes it over.
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }

    pub(crate) fn announce(&self, backend: &backend::Backend, sequence: u64) {
        self.set_state(backend, sequence, lift_fleet::BackendState::Ready);
    }

    pub(crate) fn drain(&self, backend: &backend::Backend, sequence: u64) {
        self.set_state(backend, sequence, lift_fleet::BackendState::Draining);
    }

    /// Announces a backend server that holds `version` of [`MODEL`].
    pub(crate) fn announce_weights(
        &self,
        address: net::SocketAddr,
        version: lift_fleet::WeightsVersion,
    ) {
        let model = lift_fleet::LoadedModel {
            name: String::from(MODEL),
            version,
        };
        let announcement = announcement(address, 1, lift_fleet::BackendState::Ready);
        self.publish(lift_fleet::Announcement {
            models: vec![model],
            ..announcement
        });
    }

    /// Announces a backend server of the service that warms up.
    pub(crate) async fn announce_cold(
        &self,
        address: net::SocketAddr,
        sequence: u64,
        warmup_left: time::Duration,
    ) {
        self.publish(lift_fleet::Announcement {
            service: String::from(codec::COLD_SERVICE),
            slots: 100,
            warmup_left,
            ..announcement(address, sequence, lift_fleet::BackendState::Ready)
        });
        // The gateway takes it in.
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }

    /// Reports that an idle backend server holds `version` of [`MODEL`].
    pub(crate) async fn report_weights(
        &self,
        address: net::SocketAddr,
        version: lift_fleet::WeightsVersion,
    ) {
        let report = lift_feed::LoadReport {
            backend: address,
            running: 0,
            waiting: 0,
            unread: 0,
            models: vec![lift_fleet::LoadedModel {
                name: String::from(MODEL),
                version,
            }],
            link_percent: Some(100),
            is_loading: false,
            random: 0.0,
        };
        self.report(&report).await;
        // The gateway reads it before the next call arrives.
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }

    /// Sets the target version of [`MODEL`] now.
    pub(crate) fn set_target_version(&self, version: lift_fleet::WeightsVersion) {
        let mut weights = self.source.weights.lock();
        weights.insert(String::from(MODEL), (version, time::Instant::now()));
        drop(weights);
        self.feed
            .push_head(lift_feed::FeedSource::head(&*self.source));
    }

    fn set_state(
        &self,
        backend: &backend::Backend,
        sequence: u64,
        state: lift_fleet::BackendState,
    ) {
        self.publish(announcement(backend.address, sequence, state));
    }

    fn publish(&self, announcement: lift_fleet::Announcement) {
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
        self.prefer(first, second, self.call(route, id)).await
    }

    /// Runs `calling` as [`Self::call_preferring`] does.
    pub(crate) async fn prefer<T>(
        &self,
        first: &backend::Backend,
        second: &backend::Backend,
        calling: impl Future<Output = T>,
    ) -> T {
        self.drain(second, 3);
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        let adding = async {
            while first.received().is_empty() {
                tokio::time::sleep(time::Duration::from_millis(1)).await;
            }
            self.announce(second, 4);
        };
        tokio::join!(calling, adding).0
    }

    /// Calls with a request for [`MODEL`].
    pub(crate) async fn call_model(&self, route: &str, id: &str) -> (u16, String) {
        let mut req = request(route, id, codec::KEY);
        let model = http::HeaderValue::from_static(MODEL);
        req.headers_mut().insert("x-model", model);
        get(self.callers, req).await.unwrap()
    }

    /// Sends a load report to the gateway.
    pub(crate) async fn report(&self, report: &lift_feed::LoadReport) {
        let datagram = lift_wire::seal(&self.keys, report).unwrap();
        let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
        socket.send_to(&datagram, self.loads).await.unwrap();
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
        let mut req = request(route, id, codec::KEY);
        req.headers_mut().insert("x-parts", parts.parse().unwrap());
        get(self.callers, req).await
    }

    async fn send(&self, route: &str, id: &str, key: &str) -> Result<(u16, String), String> {
        get(self.callers, request(route, id, key)).await
    }
}

fn announcement(
    address: net::SocketAddr,
    sequence: u64,
    state: lift_fleet::BackendState,
) -> lift_fleet::Announcement {
    lift_fleet::Announcement {
        id: format!("s{}", address.port()),
        started_at: time::SystemTime::UNIX_EPOCH,
        sequence,
        service: String::from("s"),
        address,
        failure_domain: String::from("d"),
        slots: 8,
        state,
        warmup_left: time::Duration::ZERO,
        models: Vec::new(),
    }
}

fn request(route: &str, id: &str, key: &str) -> http::Request<String> {
    let req = http::Request::builder()
        .uri(format!("/{route}/x"))
        .header("host", "h")
        .header("x-id", id)
        .header("x-key", key)
        .body(String::new());
    req.unwrap()
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
