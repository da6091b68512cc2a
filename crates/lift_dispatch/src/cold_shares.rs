//! Division of the limit of a cold backend server between gateways.

use std::{net, time};

use crate::send_window;

/// Share of the limit for the gateways of the server's own region, if there are gateways elsewhere.
/// Servers get most of their requests from these.
const OWN_REGION_SHARE: f64 = 0.7;

/// Time in which control tells the others of a gateway after it has sent the first list to it. Two
/// ways of 5 ms, and time for the processes to handle the messages.
const MAX_PUSH_TIME: time::Duration = time::Duration::from_millis(50);

/// Time from the first list of gateways until this one uses its share. By then the others have
/// heard of this gateway, and the requests that they sent by larger shares before, or that an
/// earlier process at its host sent, are no longer counted.
const SETTLE_TIME: time::Duration = send_window::WINDOW.saturating_add(MAX_PUSH_TIME);

/// The part of a cold backend server's limit that one gateway may use.
///
/// Gateways do not coordinate their sending times, so each share limits every window of one second.
/// It depends on the active gateways and on this gateway's rank among them, which differs from
/// server to server. With more gateways than requests, those with the first ranks get one request
/// each and the others none.
///
/// A gateway that knows of more gateways than others do gets at most the share that it would have
/// on their list: a share grows neither with the number of gateways nor with the rank. The
/// shares together never exceed the limit, as long as the list of each gateway contains all active
/// ones.
#[derive(Clone, Debug)]
pub struct ColdShares {
    own: lift_types::HostId,
    hold_time: time::Duration,
    gateways: indexmap::IndexMap<lift_types::HostId, ActiveGateway>,
    known_since: Option<time::Instant>,
    is_settled: bool,
    revision: u64,
}

/// A gateway that may be active.
#[derive(Clone, Debug)]
struct ActiveGateway {
    region: lift_types::RegionId,
    /// When it stops counting. `None` while it is listed.
    held_until: Option<time::Instant>,
}

impl ActiveGateway {
    fn is_active(&self, now: time::Instant) -> bool {
        self.held_until.is_none_or(|until| now < until)
    }
}

impl ColdShares {
    /// Shares of the gateway `own`. Gateways that are no longer listed count for `hold_time`: they
    /// may be cut off, and go on until their configuration is too old.
    pub fn new(own: &lift_types::Location, hold_time: time::Duration) -> Self {
        let gateway = ActiveGateway {
            region: own.region.clone(),
            held_until: None,
        };
        Self {
            own: own.host,
            hold_time,
            gateways: indexmap::IndexMap::from([(own.host, gateway)]),
            known_since: None,
            is_settled: false,
            revision: 0,
        }
    }

    /// Records that the listed `gateways` are known from `now` on.
    pub fn record(&mut self, now: time::Instant, gateways: &[lift_types::Location]) {
        self.known_since.get_or_insert(now);
        let held_until = now + self.hold_time;
        for (host, gateway) in &mut self.gateways {
            if *host != self.own {
                gateway.held_until.get_or_insert(held_until);
            }
        }
        for listed in gateways {
            let gateway = ActiveGateway {
                region: listed.region.clone(),
                held_until: None,
            };
            let before = self.gateways.insert(listed.host, gateway);
            if before.is_none_or(|before| before.region != listed.region) {
                self.revision += 1;
            }
        }
        self.update(now);
    }

    /// Removes the gateways that no longer count at `now`. Returns a number that is another one
    /// after each change of the shares, so that they need not be computed again without one.
    pub fn update(&mut self, now: time::Instant) -> u64 {
        let before = self.gateways.len();
        self.gateways.retain(|_, gateway| gateway.is_active(now));
        let is_settled = self.has_settled(now);
        let was_settled = std::mem::replace(&mut self.is_settled, is_settled);
        if self.gateways.len() != before || was_settled != is_settled {
            self.revision += 1;
        }
        self.revision
    }

    /// Requests that this gateway may send within one second to the cold server at `address` in
    /// `region`, of `requests` over all gateways. None until the gateways have been known for a
    /// while.
    pub fn share(
        &self,
        now: time::Instant,
        address: net::SocketAddr,
        region: Option<&str>,
        requests: u32,
    ) -> u32 {
        let own = self.gateways.get(&self.own);
        let Some(own) = own.filter(|_| self.has_settled(now)) else {
            return 0;
        };
        let is_near = |gateway: &ActiveGateway| region == Some(gateway.region.as_str());
        let own_order = order(address, self.own);
        let (mut group, mut rank, mut others) = (0_u32, 0_u32, 0_u32);
        for (host, gateway) in &self.gateways {
            if !gateway.is_active(now) {
                continue;
            }
            if is_near(gateway) == is_near(own) {
                group += 1;
                rank += u32::from(order(address, *host) < own_order);
            } else {
                others += 1;
            }
        }
        let near = (f64::from(requests) * OWN_REGION_SHARE).ceil() as u32;
        let part = match (others, is_near(own)) {
            (0, _) => requests,
            (_, true) => near,
            (_, false) => requests - near,
        };
        part.saturating_sub(rank).div_ceil(group.max(1))
    }

    fn has_settled(&self, now: time::Instant) -> bool {
        self.known_since
            .is_some_and(|since| now.saturating_duration_since(since) >= SETTLE_TIME)
    }
}

/// Place of a gateway in the order of gateways at one server. All gateways compute the same.
fn order(address: net::SocketAddr, host: lift_types::HostId) -> (u64, lift_types::HostId) {
    let ip = match address.ip() {
        net::IpAddr::V4(ip) => u64::from(ip.to_bits()),
        net::IpAddr::V6(ip) => {
            let bits = ip.to_bits();
            mix((bits >> 64) as u64) ^ bits as u64
        }
    };
    let server = mix(ip ^ (u64::from(address.port()) << 32));
    (mix(server ^ u64::from(host)), host)
}

/// Mixes the bits of a number, as in SplitMix64.
fn mix(number: u64) -> u64 {
    let mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
