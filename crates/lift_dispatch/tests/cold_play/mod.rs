//! Gateways that send to one cold server as fast as they may, without a network.

use std::{collections, net, time};

use lift_dispatch::{ColdLimit, ColdServer, ColdShares};

pub(crate) const MS: time::Duration = time::Duration::from_millis(1);

/// Requests that the server of these tests may get within any second.
pub(crate) const ALLOWED: usize = 53;

/// Time after which a gateway that control does not confirm refuses all requests.
const SERVING: time::Duration = time::Duration::from_secs(4);

/// Time after which control drops a gateway that is cut off from its list.
const DROPPED_AFTER: time::Duration = time::Duration::from_secs(2);

/// Time between two updates of a gateway's shares.
const UPDATE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Largest time that a request takes to arrive.
const MAX_TRANSIT_MS: u64 = 120;

pub(crate) const REGIONS: [&str; 3] = ["r0", "r1", "r2"];

pub(crate) fn address() -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], 8000))
}

/// The limit of the first deployment: 32 requests a second, 1.5 times, and 5 more.
pub(crate) fn limit() -> ColdLimit {
    let warmup = lift_fleet::Warmup {
        duration: 3_000 * MS,
        requests_per_s: Some(32.0),
    };
    ColdLimit::new(&warmup, 1.5, 5.0)
}

pub(crate) fn location(host: u32) -> lift_types::Location {
    lift_types::Location {
        region: String::from(REGIONS[host as usize % REGIONS.len()]),
        failure_domain: String::from("d"),
        host,
    }
}

/// A record of the server with a warm-up that lasts as long as the test.
pub(crate) fn record(started_s: u64, warmup_left: time::Duration) -> lift_fleet::BackendRecord {
    let announcement = lift_fleet::Announcement {
        id: String::from("s"),
        started_at: time::SystemTime::UNIX_EPOCH + time::Duration::from_secs(started_s),
        sequence: 1,
        service: String::from("m"),
        address: address(),
        failure_domain: String::from("d"),
        slots: 12,
        state: lift_fleet::BackendState::Ready,
        warmup_left,
        models: Vec::new(),
    };
    lift_fleet::BackendRecord {
        announcement,
        is_silent: false,
    }
}

/// Random numbers from a seed.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn below(&mut self, end: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) % end
    }
}

struct Gateway {
    shares: ColdShares,
    server: ColdServer,
    updated_at: time::Instant,
    cut_off_at: Option<time::Instant>,
}

/// A fleet of gateways. Time goes on in steps of a millisecond.
pub(crate) struct Play {
    pub(crate) now: time::Instant,
    pub(crate) random: Random,
    gateways: collections::BTreeMap<u32, Gateway>,
    arrivals: Vec<time::Instant>,
    pub(crate) sent: usize,
    pub(crate) held_back: usize,
}

impl Play {
    pub(crate) fn new(seed: u64, gateways: u32) -> Self {
        let mut play = Self {
            now: time::Instant::now(),
            random: Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            gateways: collections::BTreeMap::new(),
            arrivals: Vec::new(),
            sent: 0,
            held_back: 0,
        };
        for host in 0..gateways {
            play.start(host);
        }
        play
    }

    /// Starts or restarts the gateway on `host`.
    pub(crate) fn start(&mut self, host: u32) {
        let mut server = ColdServer::default();
        server.announce(self.now, &record(1, 600_000 * MS), false);
        let hold_time = 20_000 * MS;
        let gateway = Gateway {
            shares: ColdShares::new(&location(host), hold_time),
            server,
            updated_at: self.now,
            cut_off_at: None,
        };
        self.gateways.insert(host, gateway);
        self.tell();
    }

    pub(crate) fn stop(&mut self, host: u32) {
        self.gateways.remove(&host);
        self.tell();
    }

    pub(crate) fn cut_off(&mut self, host: u32) {
        if let Some(gateway) = self.gateways.get_mut(&host) {
            gateway.cut_off_at.get_or_insert(self.now);
        }
    }

    pub(crate) fn reconnect(&mut self, host: u32) {
        if let Some(gateway) = self.gateways.get_mut(&host) {
            gateway.cut_off_at = None;
        }
        self.tell();
    }

    /// Tells all gateways that are not cut off which ones are listed.
    fn tell(&mut self) {
        let now = self.now;
        let is_listed =
            |gateway: &Gateway| gateway.cut_off_at.is_none_or(|at| now < at + DROPPED_AFTER);
        let listed = self
            .gateways
            .iter()
            .filter(|(_, gateway)| is_listed(gateway));
        let listed: Vec<_> = listed.map(|(host, _)| location(*host)).collect();
        for gateway in self.gateways.values_mut() {
            if gateway.cut_off_at.is_none() {
                gateway.shares.record(now, &listed);
                gateway.update(now);
            }
        }
    }

    /// Plays `steps` milliseconds in which `per_s` requests a second come over all gateways. `draw`
    /// is the host that gets one.
    pub(crate) fn run(
        &mut self,
        steps: u64,
        per_s: u64,
        draw: impl Fn(&mut Random, &[u32]) -> u32,
    ) {
        let hosts: Vec<_> = self.gateways.keys().copied().collect();
        for _ in 0..steps {
            self.now += MS;
            for gateway in self.gateways.values_mut() {
                if self.now >= gateway.updated_at + UPDATE_INTERVAL {
                    gateway.update(self.now);
                }
            }
            let count = per_s / 1_000 + u64::from(self.random.below(1_000) < per_s % 1_000);
            for _ in 0..count {
                let host = draw(&mut self.random, &hosts);
                self.send(host);
            }
        }
    }

    fn send(&mut self, host: u32) {
        let Some(gateway) = self.gateways.get_mut(&host) else {
            return;
        };
        if gateway
            .cut_off_at
            .is_some_and(|at| self.now >= at + SERVING)
        {
            return;
        }
        if !gateway.server.take(self.now) {
            self.held_back += 1;
            return;
        }
        self.sent += 1;
        let transit = time::Duration::from_millis(self.random.below(MAX_TRANSIT_MS));
        self.arrivals.push(self.now + transit);
    }

    /// The most requests that have arrived within any one second.
    pub(crate) fn most_within_a_second(&mut self) -> usize {
        self.arrivals.sort();
        let mut first = 0;
        let mut most = 0;
        for (last, at) in self.arrivals.iter().enumerate() {
            while self.arrivals[first] + 1_000 * MS < *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }
}

impl Gateway {
    fn update(&mut self, now: time::Instant) {
        let limit = limit();
        let share = self
            .shares
            .share(now, address(), Some("r0"), limit.requests.unwrap());
        self.server.configure(Some(limit), share);
        self.updated_at = now;
    }
}

/// Any of the hosts.
pub(crate) fn any(random: &mut Random, hosts: &[u32]) -> u32 {
    hosts[random.below(hosts.len() as u64) as usize]
}
