//! Routing table of these tests.

use std::time;

/// Service whose servers warm up, of the route `cold`.
pub(crate) const COLD_SERVICE: &str = "c";

/// The only API key.
pub(crate) const KEY: &str = "k1";

/// Returns the same routing table for every document, except that requests of the second document may
/// run in a region without servers only, and that the idempotent route of the third one is more urgent
/// than the others. A document holds its version.
#[derive(Debug)]
pub(crate) struct Codec;

impl lift_fleet::DocumentCodec for Codec {
    fn decode(&self, text: &[u8]) -> Result<lift_fleet::RoutingTable, lift_fleet::DocumentError> {
        let version = String::from_utf8_lossy(text).parse().unwrap_or(1);
        let allowed = (version == 2).then(|| String::from("elsewhere"));
        let allowed_regions = lift_fleet::AllowedRegions::new(allowed);
        let kinds = [
            ("idempotent", lift_fleet::RouteKind::Idempotent),
            ("non_idempotent", lift_fleet::RouteKind::NonIdempotent),
            ("stream", lift_fleet::RouteKind::ResumableStream),
        ];
        let service = lift_fleet::Service {
            name: String::from("s"),
            max_connections: 0,
            warmup: None,
            engine: None,
            origin: None,
        };
        let cold_service = lift_fleet::Service {
            name: String::from(COLD_SERVICE),
            warmup: Some(lift_fleet::Warmup {
                duration: time::Duration::from_secs(4),
                requests_per_s: Some(10.0),
            }),
            ..service.clone()
        };
        let builder = lift_fleet::RoutingTable::builder(version).service(service);
        let mut builder = builder.service(cold_service);
        for (name, kind) in kinds {
            builder = builder.route(lift_fleet::Route {
                allowed_regions: allowed_regions.clone(),
                priority: u32::from(version != 3 || name != "idempotent"),
                ..route(name, kind)
            });
        }
        builder = builder.route(lift_fleet::Route {
            timeout: time::Duration::MAX,
            target_latency: time::Duration::MAX,
            target_gap: time::Duration::MAX,
            ..route("endless_times", lift_fleet::RouteKind::ResumableStream)
        });
        builder = builder.route(lift_fleet::Route {
            splits: vec![lift_fleet::Split {
                service: String::from(COLD_SERVICE),
                weight: 1,
            }],
            ..route("cold", lift_fleet::RouteKind::NonIdempotent)
        });
        let builder = builder.key(String::from(KEY), String::from("depots"))?;
        Ok(builder.build()?)
    }
}

fn route(name: &str, kind: lift_fleet::RouteKind) -> lift_fleet::Route {
    lift_fleet::Route {
        name: String::from(name),
        host: String::from("h"),
        prefix: format!("/{name}/"),
        kind,
        timeout: time::Duration::from_secs(4),
        target_latency: time::Duration::from_millis(400),
        target_gap: time::Duration::from_millis(300),
        priority: 1,
        splits: vec![lift_fleet::Split {
            service: String::from("s"),
            weight: 1,
        }],
        max_attempts: 2,
        is_auth_exempt: false,
        allowed_regions: lift_fleet::AllowedRegions::default(),
    }
}
