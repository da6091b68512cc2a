//! Ports for nodes whose settings must name them.

use std::{net, process, sync::atomic};

/// First port. All lie below the range from which the system takes ports of outgoing
/// connections; a port of that range was taken by another test between the choice and the
/// start in 4 of 18 runs.
const FIRST_PORT: u32 = 15_000;

/// Ports of one process. Two tests of one process need at most 48.
const PORTS_OF_PROCESS: u32 = 64;

/// Number of processes with ports of their own.
const PROCESSES: u32 = 250;

/// Ports of this process that were handed out.
static HANDED_OUT: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Finds loopback ports that are free. Tests that run at the same time get different ones.
pub fn free_ports(count: usize) -> Vec<net::SocketAddr> {
    let first = FIRST_PORT + process::id() % PROCESSES * PORTS_OF_PROCESS;
    let next = || HANDED_OUT.fetch_add(1, atomic::Ordering::Relaxed) % PORTS_OF_PROCESS;
    let ports = (0..PORTS_OF_PROCESS).map(|_| (first + next()) as u16);
    let is_free = |port: &u16| net::TcpListener::bind(("127.0.0.1", *port)).is_ok();
    let addrs = ports.filter(is_free).take(count);
    addrs
        .map(|port| net::SocketAddr::from(([127, 0, 0, 1], port)))
        .collect()
}
