//! Settings files of the fleet.

use std::{fs, path};

use crate::{cast, soak_error};

/// Time in which new weights must be in place, in milliseconds.
pub(crate) const WEIGHTS_MS: u64 = 8_000;

/// Time after which a key that was taken away must not work anywhere, in milliseconds.
pub(crate) const REVOKE_MS: u64 = 5_000;

/// Time after which no request may reach an evacuated failure domain, in milliseconds.
pub(crate) const EVACUATE_MS: u64 = 5_000;

/// Time between heartbeats of a backend server, in milliseconds.
pub(crate) const HEARTBEAT_MS: u64 = 500;

/// Longest time of a planned stop, in seconds.
pub(crate) const GRACE_S: u64 = 8;

/// Further attempts that each request pays for.
pub(crate) const REPEAT_SHARE: f64 = 0.2;

/// Further attempts that may come at once.
pub(crate) const REPEAT_BURST: f64 = 100.0;

/// Service of the backend servers with engines.
pub(crate) const ENGINE_SERVICE: &str = "llm";

/// Writes the settings of the process on `host`. At the first start of the fleet its seeds are
/// its first members.
pub(crate) fn write(
    cast: cast::Cast,
    host: u8,
    is_first_start: bool,
    folder: &path::Path,
    data: &path::Path,
) -> Result<(), soak_error::SoakError> {
    let last_port = cast::FIRST_PORT + cast::PORTS - 1;
    let mut settings = serde_json::json!({
        "node": format!("h{host}"), "ip": cast.public(host),
        "region": "r", "failure_domain": cast::DOMAIN,
        "failure_domains": { cast::DOMAIN: "r", cast::EVACUATED_DOMAIN: "r" },
        "ports": [cast::FIRST_PORT, last_port], "seeds": cast.seeds().collect::<Vec<_>>(),
        "first_start": is_first_start, "links": "open", "log_level": "info",
        "bounds": {
            "grace_s": GRACE_S, "heartbeat_ms": HEARTBEAT_MS, "revoke_ms": REVOKE_MS,
            "evacuate_ms": EVACUATE_MS, "weights_ms": WEIGHTS_MS,
            "repeat_share": REPEAT_SHARE, "repeat_burst": REPEAT_BURST,
        },
    });
    let service = cast.service(host);
    if cast::Cast::is_gateway(host) {
        // Load reports are datagrams, which no forwarder carries.
        settings["ip"] = serde_json::json!(cast.own(host));
        settings["gateway"] =
            serde_json::json!({ "callers": service.own, "readiness": cast.ready(host) });
    } else {
        settings["listen_ip"] = serde_json::json!(cast.own(host));
    }
    if cast::Cast::is_control(host) {
        settings["control"] = serde_json::json!({ "listener": service.public, "data_dir": data });
    }
    if cast::Cast::is_agent(host) {
        settings["agent"] = serde_json::json!({
            "backend": service.public, "service": ENGINE_SERVICE, "link_mbps": 100.0,
        });
    }
    fs::create_dir_all(folder).map_err(failed)?;
    replace(&folder.join("settings.json"), &settings)
}

/// Lists the seeds in the settings in `file` in another order.
pub(crate) fn rotate_seeds(file: &path::Path) -> Result<(), soak_error::SoakError> {
    let text = fs::read(file).map_err(failed)?;
    let read: Result<serde_json::Value, _> = serde_json::from_slice(&text);
    let mut settings = read.map_err(|e| failed(e.into()))?;
    if let Some(seeds) = settings["seeds"].as_array_mut() {
        seeds.rotate_left(1);
    }
    replace(file, &settings)
}

/// Replaces `file` at one moment, since the process reads it whenever it changes.
fn replace(file: &path::Path, settings: &serde_json::Value) -> Result<(), soak_error::SoakError> {
    let next = file.with_extension("next");
    fs::write(&next, settings.to_string()).map_err(failed)?;
    fs::rename(&next, file).map_err(failed)
}

fn failed(error: std::io::Error) -> soak_error::SoakError {
    soak_error::SoakError::Io("settings", error)
}
