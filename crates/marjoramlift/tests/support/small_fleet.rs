//! One control member and one gateway in child processes, with a backend server in this process.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{fs, net, path, process, thread, time};

/// Ports of the listeners; hosts differ in their addresses.
const FIRST_PORT: u16 = 18_100;
const SERVICE_PORT: u16 = 18_110;
const READY_PORT: u16 = 18_111;
const METRICS_PORT: u16 = 18_112;

/// Longest wait until the fleet answers.
const START_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Longest body that the configuration allows, in bytes, which is also its default.
pub const BODY_BYTES: usize = 4 * 1024 * 1024;

const HOST: &str = "x";
const KEY: &str = "key";

/// A running fleet. Dropping it ends the children.
pub struct SmallFleet {
    pub control: process::Child,
    pub gateway: process::Child,
    _dir: tempfile::TempDir,
}

impl SmallFleet {
    /// Starts the fleet and waits until the gateway answers.
    pub fn start() -> Self {
        let dir = tempfile::tempdir().unwrap();
        let control = spawn(dir.path(), "control", control_host(), |settings| {
            settings["control"] = serde_json::json!({
                "listener": control_listener(), "data_dir": dir.path().join("data"),
            });
        });
        let gateway = spawn(dir.path(), "gateway", gateway_host(), |settings| {
            settings["gateway"] = serde_json::json!({
                "callers": callers(), "readiness": readiness(),
            });
        });
        let fleet = Self {
            control,
            gateway,
            _dir: dir,
        };
        start_server();
        wait("control", || {
            post_document().is_some_and(|status| status < 300)
        });
        wait("gateway", answers);
        fleet
    }
}

impl Drop for SmallFleet {
    fn drop(&mut self) {
        for child in [&mut self.control, &mut self.gateway] {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Head of a caller's request, to which further headers may be added.
pub fn caller_head(method: &str, path: &str, number: usize) -> String {
    let id = format!("crowd-{number}");
    let caller = lift_peer::CallerText {
        host: HOST,
        id: &id,
        key: KEY,
        patience: time::Duration::from_secs(30),
        model: None,
    };
    let req = caller.write(http::Request::builder());
    let headers = req.headers_ref().cloned().unwrap_or_default();
    let lines = headers
        .iter()
        .map(|(name, value)| format!("{name}: {}\r\n", value.to_str().unwrap_or_default()));
    format!("{method} {path} HTTP/1.1\r\n{}", lines.collect::<String>())
}

/// Head of a call to a listener that isn't for callers.
pub fn plain_head(method: &str, path: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n")
}

/// Whether the gateway answers an ordinary request with a body.
pub fn answers() -> bool {
    is_answered(callers(), &caller_head("POST", "/do/x", 1_000_000), "body")
}

/// Whether the gateway answers the largest request that the configuration allows.
pub fn answers_largest() -> bool {
    let body = "b".repeat(BODY_BYTES);
    is_answered(callers(), &caller_head("POST", "/do/x", 1_000_001), &body)
}

/// Whether a request is answered with success.
pub fn is_answered(address: net::SocketAddr, head: &str, body: &str) -> bool {
    let ask = || {
        let mut stream = net::TcpStream::connect(address)?;
        stream.set_read_timeout(Some(START_LIMIT))?;
        let length = body.len();
        let close = "connection: close\r\n";
        let text = format!("{head}{close}content-length: {length}\r\n\r\n{body}");
        std::io::Write::write_all(&mut stream, text.as_bytes())?;
        super::read(Box::new(stream))
    };
    ask().is_ok_and(|(status, _)| status == 200)
}

/// Waits until `is_done`.
pub fn wait(what: &str, mut is_done: impl FnMut() -> bool) {
    let until = time::Instant::now() + START_LIMIT;
    while !is_done() {
        assert!(time::Instant::now() < until, "{what} does not answer");
        thread::sleep(time::Duration::from_millis(100));
    }
}

pub fn callers() -> net::SocketAddr {
    (gateway_host(), SERVICE_PORT).into()
}

pub fn readiness() -> net::SocketAddr {
    (gateway_host(), READY_PORT).into()
}

pub fn metrics() -> net::SocketAddr {
    (gateway_host(), METRICS_PORT).into()
}

pub fn control_listener() -> net::SocketAddr {
    (control_host(), SERVICE_PORT).into()
}

fn control_host() -> net::Ipv4Addr {
    net::Ipv4Addr::new(127, 93, 1, 10)
}

fn gateway_host() -> net::Ipv4Addr {
    net::Ipv4Addr::new(127, 93, 1, 20)
}

/// Starts the one backend server of this process, which all tests share.
fn start_server() {
    static STARTED: std::sync::Once = std::sync::Once::new();
    let address = (net::Ipv4Addr::new(127, 93, 1, 40), SERVICE_PORT);
    STARTED.call_once(|| super::peer_server::start(address.into(), control_listener()));
}

fn post_document() -> Option<u16> {
    let route = |text: lift_peer::DocumentText, prefix, kind| {
        text.route(HOST, prefix, kind, "plain", time::Duration::from_secs(30))
    };
    let text = lift_peer::DocumentText::new(1)
        .service("plain")
        .workspace("house", &[String::from(KEY)]);
    let text = route(text, "/do/", lift_fleet::RouteKind::Idempotent);
    let text = route(text, "/big/", lift_fleet::RouteKind::Idempotent);
    let text = route(text, "/stream/", lift_fleet::RouteKind::Stream);
    let path = lift_peer::paths::REPLACE;
    let sent = super::request(control_listener(), "POST", path, &text.text(), START_LIMIT);
    sent.ok().map(|(status, _)| status)
}

fn spawn(
    dir: &path::Path,
    name: &str,
    ip: net::Ipv4Addr,
    add_role: impl FnOnce(&mut serde_json::Value),
) -> process::Child {
    let mut settings = serde_json::json!({
        "node": name, "ip": ip, "region": "r", "failure_domain": "d",
        "failure_domains": { "d": "r" }, "ports": [FIRST_PORT, FIRST_PORT + 3],
        "seeds": [control_listener()], "first_start": true, "links": "open",
        "log_level": "info", "metrics": net::SocketAddr::from((ip, METRICS_PORT)),
    });
    add_role(&mut settings);
    let file = dir.join(format!("{name}.json"));
    fs::write(&file, settings.to_string()).unwrap();
    process::Command::new(super::program())
        .args(["fleet", "--settings"])
        .arg(&file)
        .current_dir(dir)
        .stdout(process::Stdio::null())
        .stderr(process::Stdio::null())
        .spawn()
        .unwrap()
}
