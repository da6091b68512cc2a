//! Agents at the moment at which the version is named.

use std::{collections, sync, time};

use lift_transfer::{
    Download, DownloadConfig, DownloadEvent, HomeTable, OriginWatch, Pacer, SwarmPeer,
};
use rand::SeedableRng as _;

use super::{Agent, MS, Model, Outcome, Play, REGIONS, UPLOAD_SHARE};

impl Model {
    pub(super) fn new(play: Play) -> Self {
        let start = time::Instant::now();
        let location = |host: u32| lift_types::Location {
            region: format!("region-{}", host % REGIONS),
            failure_domain: String::from("d"),
            host,
        };
        let peer = |host| SwarmPeer {
            location: location(host),
            incarnation: 1,
            chunk_addr: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        };
        let buf: Vec<u8> = (0..play.pieces).flat_map(u32::to_le_bytes).collect();
        let mut manifest = lift_types::Manifest::of(String::from("v"), &buf, 4);
        manifest.chunk_size = play.piece_bytes;
        let manifest = sync::Arc::new(manifest);
        let goal = lift_types::TransferGoal::Origin;
        let homes = HomeTable::new((0..play.agents).map(peer).collect(), goal);
        let cfg = DownloadConfig::default()
            .window(6, 2)
            .timeouts(2_000 * MS, 700 * MS)
            .upstream_timeout(1_500 * MS)
            .origin_rate(play.origin_rate as u64);
        let mut agents = Vec::new();
        let mut views = Vec::new();
        for host in 0..play.agents {
            let view = homes.view(&location(host));
            let upstreams = view.home_groups.iter().filter_map(|g| match &g.upstream {
                lift_transfer::Upstream::Peer(peer) => Some(peer.location.host),
                lift_transfer::Upstream::Origin => None,
            });
            let neighbours = view.neighbours.iter().map(|peer| peer.location.host);
            let links: collections::BTreeSet<_> = neighbours.chain(upstreams).collect();
            agents.push(Agent {
                download: Download::new(&location(host), manifest.clone(), cfg.clone()),
                watch: OriginWatch::default(),
                links: links.into_iter().collect(),
                waiting: collections::VecDeque::new(),
                pacer: Pacer::new((play.host_rate_of(host) * UPLOAD_SHARE) as u64),
                next_send: start,
            });
            views.push(view);
        }
        let mut model = Self {
            start,
            now: start,
            agents,
            transfers: Vec::new(),
            events: collections::BTreeMap::new(),
            sequence: 0,
            rng: rand::rngs::SmallRng::seed_from_u64(play.seed),
            outcome: Outcome::default(),
            play,
        };
        for (host, view) in (0..).zip(views) {
            for chunk in 0..model.play.shared {
                model.step(host, DownloadEvent::Held { chunk });
            }
            for other in model.agents[host as usize].links.clone() {
                let location = location(other);
                model.step(host, DownloadEvent::PeerUp { location });
                let chunks = (0..model.play.shared).collect();
                model.step(
                    host,
                    DownloadEvent::Have {
                        host: other,
                        chunks,
                    },
                );
            }
            model.step(host, DownloadEvent::View(view));
        }
        model
    }
}
