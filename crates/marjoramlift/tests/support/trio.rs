//! Three nodes with control and entry in child processes whose disks can be filled.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{fs, net, process};

use super::ports;

/// Starts the program with the signal of a file that is too long ignored, so that its writes
/// fail as on a full disk.
const START: &str = "trap '' XFSZ; exec \"$0\" \"$@\"";

/// Nodes of one cluster. Dropping it ends the children.
pub struct Trio {
    children: Vec<process::Child>,
    pub admins: Vec<net::SocketAddr>,
    dir: tempfile::TempDir,
    addrs: Vec<net::SocketAddr>,
}

impl Trio {
    /// Starts three nodes.
    pub fn start() -> Self {
        let dir = tempfile::tempdir().unwrap();
        fs::write(dir.path().join("link.key"), "5c".repeat(32)).unwrap();
        let addrs = ports::free_ports(18);
        let mut trio = Self {
            children: Vec::new(),
            admins: addrs[9..12].to_vec(),
            dir,
            addrs,
        };
        for node in 0..3 {
            fs::create_dir(trio.dir.path().join(format!("control-{node}"))).unwrap();
            let child = trio.spawn(node, START);
            trio.children.push(child);
        }
        trio
    }

    /// Ends a node and starts it with a full disk, as if it had lost power.
    pub fn restart_on_full_disk(&mut self, node: usize) {
        self.children[node].kill().unwrap();
        self.children[node].wait().unwrap();
        let start = format!("ulimit -S -f 0; {START}");
        self.children[node] = self.spawn(node, &start);
    }

    /// Lets the disk of a node take no more bytes, or take them again.
    pub fn set_disk_full(&self, node: usize, is_full: bool) {
        let limit = if is_full { "0" } else { "unlimited" };
        let pid = self.children[node].id().to_string();
        let status = process::Command::new("prlimit")
            .args(["--pid", &pid, &format!("--fsize={limit}:unlimited")])
            .status();
        assert!(status.unwrap().success());
    }

    /// Whether all processes run.
    pub fn all_run(&mut self) -> bool {
        let mut children = self.children.iter_mut();
        children.all(|child| child.try_wait().unwrap().is_none())
    }

    fn spawn(&self, node: usize, start: &str) -> process::Child {
        let file = self.dir.path().join(format!("node-{node}.json"));
        fs::write(&file, self.settings(node).to_string()).unwrap();
        process::Command::new("sh")
            .args(["-c", start, env!("CARGO_BIN_EXE_marjoramlift")])
            .args(["run", "--settings"])
            .arg(&file)
            .current_dir(self.dir.path())
            .stdout(process::Stdio::null())
            .stderr(process::Stdio::null())
            .spawn()
            .unwrap()
    }

    fn settings(&self, node: usize) -> serde_json::Value {
        let addr = |kind: usize| self.addrs[3 * kind + node];
        let member = |i: usize| {
            serde_json::json!({
                "id": i + 1, "peer_addr": self.addrs[i], "client_addr": self.addrs[3 + i]
            })
        };
        let members: Vec<_> = (0..3).map(member).collect();
        serde_json::json!({
            "host": node + 1, "region": "piedmont",
            "failure_domain": format!("piedmont-{}", node + 1),
            "roles": ["control", "entry"],
            "link_keys": {"current": {"id": 1, "file": "link.key"}},
            "control": {
                "peer_listener": addr(0), "client_listener": addr(1), "member": node + 1,
                "members": members, "data_dir": format!("control-{node}")
            },
            "entry": {
                "caller_listener": addr(2), "admin_listener": addr(3),
                "relay_listener": addr(4), "heartbeat_listener": addr(5),
                "control_addrs": self.addrs[3..6]
            }
        })
    }
}

impl Drop for Trio {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
