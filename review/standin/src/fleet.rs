//! Processes of the fleet, and calls to its control members.

use std::{
    fs,
    io::{self, Write as _},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http, record::Record};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Bounds of `gcrsc-haul` that the cases use.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
pub const DRAIN: Duration = Duration::from_millis(2_000);
pub const APPLY: Duration = Duration::from_millis(2_000);
pub const REVOKE: Duration = Duration::from_millis(5_000);
pub const CONTACT: Duration = Duration::from_millis(3_000);

/// Time for which a caller of control waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Control,
    Gateway,
    /// Beside the replica at this address.
    Agent(SocketAddr),
}

/// One process of the fleet.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub role: Role,
    pub ip: Ipv4Addr,
    child: Option<Child>,
}

/// The processes of the fleet, each on a loopback address of its own, as on hosts of their own.
#[derive(Debug)]
pub struct Fleet {
    pub record: Record,
    folder: PathBuf,
    network: [u8; 2],
    ports: (u16, u16),
    control_port: u16,
    caller_port: u16,
    ready_port: u16,
    pub seeds: Vec<SocketAddr>,
    pub nodes: Vec<Node>,
}

impl Fleet {
    /// Prepares a fleet with `controls` control members and a gateway. Nothing runs yet.
    pub fn new(record: &Record, controls: u8) -> io::Result<Self> {
        let folder = PathBuf::from(std::env::var("FOLDER").map_err(io::Error::other)?);
        let pid = std::process::id();
        // Different runs use different networks, so that they don't meet.
        let network = [100 + (pid % 100) as u8, (pid / 100 % 250) as u8];
        let first = free_ports(7)?;
        let mut fleet = Self {
            record: record.clone(),
            folder,
            network,
            ports: (first, first + 3),
            control_port: first + 4,
            caller_port: first + 5,
            ready_port: first + 6,
            seeds: Vec::new(),
            nodes: Vec::new(),
        };
        fleet.seeds = (1..=controls.min(3))
            .map(|i| fleet.control_address(i))
            .collect();
        for i in 1..=controls {
            fleet.add(&format!("control-{i}"), Role::Control, 10 + i);
        }
        fleet.add("gateway-1", Role::Gateway, 21);
        Ok(fleet)
    }

    /// A loopback address of this run.
    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], host)
    }

    fn control_address(&self, i: u8) -> SocketAddr {
        SocketAddr::from((self.ip(10 + i), self.control_port))
    }

    /// Where operators and replicas reach the control members that were added so far.
    pub fn controls(&self) -> Vec<SocketAddr> {
        let controls = self.nodes.iter().filter(|node| node.role == Role::Control);
        controls
            .map(|node| SocketAddr::from((node.ip, self.control_port)))
            .collect()
    }

    /// Where clients reach the gateway.
    pub fn gateway(&self) -> SocketAddr {
        SocketAddr::from((self.ip(21), self.caller_port))
    }

    /// Adds a node, which does not run yet.
    pub fn add(&mut self, name: &str, role: Role, host: u8) {
        self.nodes.push(Node {
            name: String::from(name),
            role,
            ip: self.ip(host),
            child: None,
        });
    }

    /// Position of a node.
    pub fn position(&self, name: &str) -> usize {
        let found = self.nodes.iter().position(|node| node.name == name);
        found.expect("a node of this name")
    }

    /// Writes settings as `deploy/settings.json` renders them, and starts the process with the
    /// command of `deploy/system.toml`.
    pub fn start(&mut self, name: &str, is_first_start: bool) -> io::Result<()> {
        let i = self.position(name);
        let folder = self.folder.join(name);
        let data = folder.join("data");
        fs::create_dir_all(&data)?;
        let settings = self.settings(&self.nodes[i], is_first_start, &data.display().to_string());
        let file = folder.join("settings.conf");
        fs::write(&file, settings)?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join("log"))?;
        let child = Command::new("target/release/marjoramlift")
            .args(["fleet", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut pids = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        self.record.line(&format!(
            "platform starts {name}, bootstrap={is_first_start}"
        ));
        self.nodes[i].child = Some(child);
        Ok(())
    }

    /// Starts all nodes for the first time.
    pub fn start_all(&mut self) -> io::Result<()> {
        let names: Vec<_> = self.nodes.iter().map(|node| node.name.clone()).collect();
        names.iter().try_for_each(|name| self.start(name, true))
    }

    fn settings(&self, node: &Node, is_first_start: bool, data: &str) -> String {
        let at = |port| SocketAddr::from((node.ip, port));
        let role = match node.role {
            Role::Control => format!(
                r#""control":{{"listener":"{}","data_dir":"{data}"}}"#,
                at(self.control_port)
            ),
            Role::Gateway => format!(
                r#""gateway":{{"callers":"{}","readiness":"{}"}}"#,
                at(self.caller_port),
                at(self.ready_port)
            ),
            Role::Agent(replica) => {
                format!(r#""agent":{{"backend":"{replica}","service":"model","link_mbps":7.3}}"#)
            }
        };
        let seeds: Vec<_> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let first_start = if is_first_start {
            r#""first_start":true,"#
        } else {
            ""
        };
        format!(
            r#"{{{role},"bounds":{{"heartbeat_ms":{},"apply_ms":{},"revoke_ms":{},"weights_ms":8000,
            "repeat_share":0.2,"repeat_burst":104,"grace_s":8}},
            "failure_domains":{{"zone-a":"region"}},"seeds":[{}],{first_start}
            "node":"{}","ip":"{}","region":"region","failure_domain":"zone-a",
            "ports":[{},{}],"links":"open","log_level":"info"}}"#,
            HEARTBEAT.as_millis(),
            APPLY.as_millis(),
            REVOKE.as_millis(),
            seeds.join(","),
            node.name,
            node.ip,
            self.ports.0,
            self.ports.1,
        )
    }

    /// Sends a signal to a process that this case has started.
    pub fn signal(&mut self, name: &str, signal: i32) {
        let i = self.position(name);
        self.record
            .line(&format!("platform sends signal {signal} to {name}"));
        if let Some(child) = &self.nodes[i].child {
            // The process is a child that was not waited for, so its id is still its own.
            unsafe { kill(child.id() as i32, signal) };
        }
        if signal == SIGKILL
            && let Some(mut child) = self.nodes[i].child.take()
        {
            let _ = child.wait();
        }
    }

    /// Loses the disk of a node that does not run.
    pub fn wipe(&self, name: &str) -> io::Result<()> {
        self.record.line(&format!("{name} loses its disk"));
        fs::remove_dir_all(self.folder.join(name).join("data"))
    }

    /// Waits until a process that was told to stop has ended.
    pub fn wait(&mut self, name: &str) {
        let i = self.position(name);
        if let Some(mut child) = self.nodes[i].child.take() {
            let _ = child.wait();
        }
        self.record.line(&format!("{name} has ended"));
    }

    /// Name of the control member at an address.
    pub fn control_name(&self, address: SocketAddr) -> String {
        let found = self
            .nodes
            .iter()
            .find(|node| SocketAddr::from((node.ip, self.control_port)) == address);
        found.map_or_else(|| address.to_string(), |node| node.name.clone())
    }

    /// Whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ready = SocketAddr::from((self.ip(21), self.ready_port));
        let asked = http::call(
            ready,
            CALL_TIMEOUT,
            "GET",
            "/v1/ready",
            &[("Host", "ready")],
            b"",
        );
        asked.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the gateway is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                self.record.line("gateway-1 says that it is ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// One call to control: follows a 307 twice. Returns who answered it.
pub fn call_once(
    at: SocketAddr,
    method: &str,
    target: &str,
    body: &str,
) -> io::Result<(SocketAddr, http::Message)> {
    let mut at = at;
    for _ in 0..3 {
        let host = at.to_string();
        let headers = [
            ("Host", host.as_str()),
            ("Content-Type", "application/json"),
        ];
        let answer = http::call(at, CALL_TIMEOUT, method, target, &headers, body.as_bytes())?;
        if answer.status() != 307 {
            return Ok((at, answer));
        }
        let location = answer.header("location").unwrap_or_default();
        let next = location.trim_start_matches("http://").split('/').next();
        at = next
            .and_then(|next| next.parse().ok())
            .ok_or(io::ErrorKind::InvalidData)?;
    }
    Err(io::Error::other("too many redirections"))
}

/// Sends a call to one member after the other, with increasing pauses, until one acknowledges it.
/// Returns who did.
pub fn call_until(
    controls: &[SocketAddr],
    target: &str,
    body: &str,
    limit: Duration,
) -> Option<SocketAddr> {
    let end = Instant::now() + limit;
    let mut pause = Duration::from_millis(50);
    let mut turn = 0;
    while Instant::now() < end {
        let at = controls[turn % controls.len()];
        if let Ok((by, answer)) = call_once(at, "POST", target, body)
            && answer.status() / 100 == 2
        {
            return Some(by);
        }
        turn += 1;
        thread::sleep(pause);
        pause = (pause * 3 / 2).min(Duration::from_millis(400));
    }
    None
}

/// First of `count` ports that follow each other and are free on loopback.
fn free_ports(count: u16) -> io::Result<u16> {
    let start = 20_000 + (std::process::id() % 1_000) as u16 * 10;
    for first in (start..start + 9_000).step_by(usize::from(count)) {
        let is_free = |port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok();
        if (first..first + count).all(is_free) {
            return Ok(first);
        }
    }
    Err(io::Error::other("no free ports"))
}
