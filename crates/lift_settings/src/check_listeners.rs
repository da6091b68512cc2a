//! Check that no port is used twice.

use std::net;

use crate::{role, settings, settings_error};

/// Checks the listeners of all roles of the node against each other. UDP and TCP ports are
/// not told apart, which keeps firewall rules readable.
pub(crate) fn check(cfg: &settings::Settings) -> Result<(), settings_error::SettingsError> {
    let listeners = listeners(cfg);
    for (i, (path, addr)) in listeners.iter().enumerate() {
        let earlier = listeners[..i]
            .iter()
            .find(|(_, other)| clash(*addr, *other));
        let Some((other, _)) = earlier else {
            continue;
        };
        let problem = format!("port {} is also used by {other}", addr.port());
        let allowed = "a port per listener";
        return Err(settings_error::SettingsError::new(*path, problem, allowed));
    }
    Ok(())
}

fn listeners(cfg: &settings::Settings) -> Vec<(&'static str, net::SocketAddr)> {
    let mut all = Vec::new();
    if let Some(entry) = cfg.entry.as_ref().filter(|_| cfg.has(role::Role::Entry)) {
        all.push(("entry.caller_listener", entry.caller_listener));
        all.push(("entry.admin_listener", entry.admin_listener));
        all.push(("entry.relay_listener", entry.relay_listener));
        all.push(("entry.heartbeat_listener", entry.heartbeat_listener));
    }
    if let Some(agent) = cfg.agent.as_ref().filter(|_| cfg.has(role::Role::Agent)) {
        all.push(("agent.call_listener", agent.call_listener));
        all.push(("agent.chunk_listener", agent.chunk_listener));
    }
    if let Some(control) = cfg
        .control
        .as_ref()
        .filter(|_| cfg.has(role::Role::Control))
    {
        all.push(("control.peer_listener", control.peer_listener));
        all.push(("control.client_listener", control.client_listener));
        if let Some(addr) = control.admin_listener {
            all.push(("control.admin_listener", addr));
        }
    }
    all
}

fn clash(a: net::SocketAddr, b: net::SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && same_ip
}
