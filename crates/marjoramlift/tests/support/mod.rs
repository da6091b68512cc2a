//! A node with all roles in a child process, with a plain backend server in this process.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod crowd;
pub mod footprint;
pub mod peer_server;
#[path = "../../../lift_node/tests/support/mod.rs"]
pub mod ports;
pub mod small_fleet;
mod tls;
pub mod trio;

use std::{
    env, fs,
    io::{self, Read as _, Write as _},
    net, process, thread, time,
};

/// Grace time of the node.
pub const GRACE: time::Duration = time::Duration::from_secs(10);

/// Longest wait until the node answers.
const START_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Length of the answer to a request of method `large`: more than the buffers of the system on
/// its way hold.
pub const LARGE_BYTES: usize = 12 * 1024 * 1024;

/// The program under test. `MARJORAMLIFT_PROGRAM` names another build of it, for comparisons.
pub fn program() -> String {
    let built = || String::from(env!("CARGO_BIN_EXE_marjoramlift"));
    env::var("MARJORAMLIFT_PROGRAM").unwrap_or_else(|_| built())
}

/// A running node. Dropping it ends the child.
pub struct Node {
    pub child: process::Child,
    pub caller: net::SocketAddr,
    pub admin: net::SocketAddr,
    tls: Option<tls::Tls>,
    _dir: tempfile::TempDir,
}

impl Node {
    /// Starts a node whose backend server takes `delay` for requests of method `slow`, and
    /// waits until it answers.
    pub fn start(delay: time::Duration) -> Self {
        Self::start_in(tempfile::tempdir().unwrap(), delay, None)
    }

    /// Starts a node that speaks TLS, and waits until it answers.
    pub fn start_with_tls() -> Self {
        let dir = tempfile::tempdir().unwrap();
        let tls = tls::Tls::create(dir.path());
        Self::start_in(dir, time::Duration::ZERO, Some(tls))
    }

    fn start_in(dir: tempfile::TempDir, delay: time::Duration, tls: Option<tls::Tls>) -> Self {
        let ports = ports::free_ports(8);
        let backend = start_backend(delay);
        let file = dir.path().join("node.json");
        fs::write(dir.path().join("link.key"), "5c".repeat(32)).unwrap();
        for folder in ["control", "agent"] {
            fs::create_dir(dir.path().join(folder)).unwrap();
        }
        let mut settings = settings(&ports, backend);
        if tls.is_some() {
            settings["entry"]["tls"] = tls::settings();
        }
        fs::write(&file, settings.to_string()).unwrap();
        let child = process::Command::new(program())
            .args(["run", "--settings"])
            .arg(&file)
            .current_dir(dir.path())
            .spawn()
            .unwrap();
        let node = Self {
            child,
            caller: ports[2],
            admin: ports[3],
            tls,
            _dir: dir,
        };
        node.set_policy();
        node.wait_until_answers();
        node
    }

    fn set_policy(&self) {
        let methods = serde_json::json!({
            "lookup": "idempotent", "slow": "idempotent", "large": "idempotent",
        });
        let default = serde_json::json!({
            "version": null, "activation_floor_percent": 50, "transfer_goal": "time",
            "limits": {"weight": 1, "rate_per_s": 1000, "burst": 100, "max_queued": 10},
            "services": {"ledger": {"kind": "plain", "methods": methods}}
        });
        let body = serde_json::json!({
            "id": "test-1", "expected": 0, "author": "test", "reason": "test",
            "edits": [{"set_default": default}]
        });
        let body = body.to_string();
        let post = || {
            let stream = self.connect(self.admin)?;
            read(send(stream, "POST", "/v1/changes", &body)?)
        };
        wait(|| post().is_ok_and(|reply| reply.0 == 200));
    }

    fn wait_until_answers(&self) {
        let get = || read(self.send_get("/v1/ledger/lookup", "x")?);
        wait(|| get().is_ok_and(|reply| reply.0 == 200));
    }

    /// Sends a request as a caller, whose answer is still to be read.
    pub fn send_get(&self, path: &str, body: &str) -> io::Result<Box<dyn tls::Duplex>> {
        send(self.connect(self.caller)?, "GET", path, body)
    }

    fn connect(&self, addr: net::SocketAddr) -> io::Result<Box<dyn tls::Duplex>> {
        let stream = net::TcpStream::connect(addr)?;
        stream.set_read_timeout(Some(START_LIMIT))?;
        match &self.tls {
            Some(tls) => tls.wrap(stream),
            None => Ok(Box::new(stream)),
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a request with a body; returns status and body of the answer.
pub fn get(addr: net::SocketAddr, path: &str, body: &str) -> (u16, String) {
    try_get(addr, path, body).unwrap()
}

/// Sends a request with a body. An answer that is cut short is an error.
pub fn try_get(addr: net::SocketAddr, path: &str, body: &str) -> io::Result<(u16, String)> {
    request(addr, "GET", path, body, START_LIMIT)
}

/// Sends a request whose answer must come within `limit`.
pub fn request(
    addr: net::SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: time::Duration,
) -> io::Result<(u16, String)> {
    let stream = net::TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(limit))?;
    read(send(Box::new(stream), method, path, body)?)
}

fn send(
    mut stream: Box<dyn tls::Duplex>,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<Box<dyn tls::Duplex>> {
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.0\r\nhost: x\r\ncontent-type: application/json\r\n\
         x-lift-workspace: test\r\ncontent-length: {length}\r\n\r\n{body}"
    )?;
    Ok(stream)
}

/// Reads an answer to its end.
pub fn read(mut stream: Box<dyn tls::Duplex>) -> io::Result<(u16, String)> {
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let cut = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let (head, body) = answer.split_once("\r\n\r\n").ok_or_else(cut)?;
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    Ok((status.ok_or_else(cut)?, String::from(body)))
}

fn wait(mut is_done: impl FnMut() -> bool) {
    let until = time::Instant::now() + START_LIMIT;
    while !is_done() {
        assert!(time::Instant::now() < until, "the node does not answer");
        thread::sleep(time::Duration::from_millis(50));
    }
}

fn settings(ports: &[net::SocketAddr], backend: net::SocketAddr) -> serde_json::Value {
    serde_json::json!({
        "host": 1, "region": "piedmont", "failure_domain": "piedmont-1",
        "roles": ["control", "entry", "agent"], "grace_ms": GRACE.as_millis() as u64,
        "link_keys": {"current": {"id": 1, "file": "link.key"}},
        "control": {
            "peer_listener": ports[0], "client_listener": ports[1], "member": 1,
            "members": [{"id": 1, "peer_addr": ports[0], "client_addr": ports[1]}],
            "data_dir": "control"
        },
        "entry": {
            "caller_listener": ports[2], "admin_listener": ports[3],
            "relay_listener": ports[4], "heartbeat_listener": ports[5],
            "control_addrs": [ports[1]]
        },
        "agent": {
            "call_listener": ports[6], "chunk_listener": ports[7], "backend_addr": backend,
            "backend_kind": "plain", "relay_addrs": [ports[4]], "heartbeat_addrs": [ports[5]],
            "data_dir": "agent", "services": ["ledger"]
        }
    })
}

/// Starts a backend server that echoes the body, after `delay` where the path is `/slow`.
fn start_backend(delay: time::Duration) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || answer(stream.unwrap(), delay));
        }
    });
    addr
}

fn answer(mut stream: net::TcpStream, delay: time::Duration) -> io::Result<()> {
    let mut buf = Vec::new();
    let mut part = [0; 4_096];
    let (head, length) = loop {
        let read = stream.read(&mut part)?;
        buf.extend_from_slice(&part[..read]);
        let text = String::from_utf8_lossy(&buf).into_owned();
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length").unwrap_or("0").parse();
            break (String::from(head), length.unwrap_or(0));
        }
        if read == 0 {
            return Ok(());
        }
    };
    while buf.len() < head.len() + 4 + length {
        let read = stream.read(&mut part)?;
        buf.extend_from_slice(&part[..read]);
    }
    if head.starts_with("GET /slow") {
        thread::sleep(delay);
    }
    let body = match head.starts_with("GET /large") {
        true => "x".repeat(LARGE_BYTES),
        false => format!(
            "answer to {}",
            String::from_utf8_lossy(&buf[head.len() + 4..])
        ),
    };
    let id = header(&head, "x-lift-request-id").unwrap_or_default();
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nx-lift-request-id: {id}\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    let mut named = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
    named.next().map(|(_, value)| value)
}
