//! Checks of settings as a whole.

use std::{fs, net, path};

use crate::{
    agent_settings, backend_kind, check_listeners, control_settings, entry_settings, role,
    settings, settings_error, settings_text,
};

/// Result of one check.
type Checked = Result<(), settings_error::SettingsError>;

const LOG_LEVELS: [&str; 6] = ["trace", "debug", "info", "warning", "error", "critical"];

/// Longest grace time. A platform waits no longer than this for a process to end.
const MAX_GRACE_MS: u64 = 600_000;

/// Times of a lease. A shorter one would end between two renewals on a busy network; a longer
/// one would hold up activations for too long after a change of leader.
const LEASE_MS: std::ops::RangeInclusive<u64> = 2_000..=600_000;

/// Checks settings and the files that they name.
pub(crate) fn check(cfg: &settings::Settings) -> Checked {
    check_node(cfg)?;
    check_roles(cfg)?;
    check_keys(cfg)?;
    if let Some(entry) = cfg.entry.as_ref().filter(|_| cfg.has(role::Role::Entry)) {
        check_entry(entry)?;
    }
    if let Some(agent) = cfg.agent.as_ref().filter(|_| cfg.has(role::Role::Agent)) {
        check_agent(agent)?;
    }
    check_lease(cfg)?;
    if let Some(control) = cfg
        .control
        .as_ref()
        .filter(|_| cfg.has(role::Role::Control))
    {
        check_control(control)?;
    }
    check_listeners::check(cfg)
}

fn fail(path: &str, problem: impl Into<String>, allowed: &str) -> Checked {
    Err(settings_error::SettingsError::new(path, problem, allowed))
}

fn check_node(cfg: &settings::Settings) -> Checked {
    if cfg.region.is_empty() {
        return fail("region", "the name is empty", "a name");
    }
    if cfg.failure_domain.is_empty() {
        return fail("failure_domain", "the name is empty", "a name");
    }
    if !LOG_LEVELS.contains(&cfg.log_level.as_str()) {
        let problem = format!("{:?} is not a log level", cfg.log_level);
        return fail("log_level", problem, &LOG_LEVELS.join(", "));
    }
    settings_text::check_memory_mb(cfg.memory_mb)?;
    if !(1..=MAX_GRACE_MS).contains(&cfg.grace_ms) {
        let problem = format!("{} ms is out of range", cfg.grace_ms);
        return fail("grace_ms", problem, &format!("1 to {MAX_GRACE_MS}"));
    }
    Ok(())
}

fn check_roles(cfg: &settings::Settings) -> Checked {
    if cfg.roles.is_empty() {
        return fail(
            "roles",
            "no role is given",
            "one or more of entry, agent, control",
        );
    }
    for (i, role) in cfg.roles.iter().enumerate() {
        let path = format!("roles[{i}]");
        if cfg.roles[..i].contains(role) {
            return fail(&path, format!("{role} is given twice"), "each role once");
        }
        let has_section = match role {
            role::Role::Entry => cfg.entry.is_some(),
            role::Role::Agent => cfg.agent.is_some(),
            role::Role::Control => cfg.control.is_some(),
        };
        if !has_section {
            let allowed = format!("an object of {role} settings");
            return fail(
                &role.to_string(),
                "the section of a given role is missing",
                &allowed,
            );
        }
    }
    Ok(())
}

fn check_keys(cfg: &settings::Settings) -> Checked {
    let current = (String::from("link_keys.current"), &cfg.link_keys.current);
    let accepted = cfg.link_keys.accepted.iter().enumerate();
    let accepted = accepted.map(|(i, key)| (format!("link_keys.accepted[{i}]"), key));
    let mut ids = Vec::new();
    for (path, key) in std::iter::once(current).chain(accepted) {
        if ids.contains(&key.id) {
            let problem = format!("number {} is used twice", key.id);
            return fail(&format!("{path}.id"), problem, "a number per key");
        }
        ids.push(key.id);
        if let Err(problem) = key.read() {
            let path = format!("{path}.file");
            return fail(&path, problem, "a readable file with 64 hexadecimal digits");
        }
    }
    Ok(())
}

fn check_entry(entry: &entry_settings::EntrySettings) -> Checked {
    check_addrs("entry.control_addrs", &entry.control_addrs)?;
    if let Some(tls) = &entry.tls {
        check_file("entry.tls.certificate", &tls.certificate)?;
        check_file("entry.tls.key", &tls.key)?;
    }
    let tokens = entry.admin_token_file.as_deref();
    check_admin("entry", Some(entry.admin_listener), tokens)?;
    let limits = [
        ("max_connections", u64::from(entry.limits.max_connections)),
        ("max_body_bytes", entry.limits.max_body_bytes),
        ("max_in_progress", u64::from(entry.limits.max_in_progress)),
        ("request_timeout_ms", entry.limits.request_timeout_ms),
    ];
    for (name, value) in limits {
        if value == 0 {
            return fail(
                &format!("entry.limits.{name}"),
                "the limit is 0",
                "1 or more",
            );
        }
    }
    Ok(())
}

fn check_agent(agent: &agent_settings::AgentSettings) -> Checked {
    check_reachable("agent.call_listener", agent.call_listener)?;
    check_reachable("agent.chunk_listener", agent.chunk_listener)?;
    check_addrs("agent.relay_addrs", &agent.relay_addrs)?;
    check_addrs("agent.heartbeat_addrs", &agent.heartbeat_addrs)?;
    check_folder("agent.data_dir", &agent.data_dir)?;
    if agent.services.is_empty() {
        return fail("agent.services", "no service is given", "one or more names");
    }
    if let Some(i) = agent.services.iter().position(String::is_empty) {
        return fail(
            &format!("agent.services[{i}]"),
            "the name is empty",
            "a name",
        );
    }
    if agent.upload_bytes_per_s == 0 {
        return fail("agent.upload_bytes_per_s", "the limit is 0", "1 or more");
    }
    if agent.backend_kind == backend_kind::BackendKind::Plain {
        return Ok(());
    }
    if agent.engine_addr.is_none() {
        return fail("agent.engine_addr", "a model engine needs it", "IP:PORT");
    }
    if agent.origin_addr.is_none() {
        return fail("agent.origin_addr", "a model engine needs it", "IP:PORT");
    }
    Ok(())
}

fn check_control(control: &control_settings::ControlSettings) -> Checked {
    for (i, member) in control.members.iter().enumerate() {
        if control.members[..i].iter().any(|m| m.id == member.id) {
            let path = format!("control.members[{i}].id");
            let problem = format!("member {} is given twice", member.id);
            return fail(&path, problem, "each member once");
        }
    }
    let own = control.members.iter().position(|m| m.id == control.member);
    let Some(own) = own else {
        let problem = format!("the list lacks this node, member {}", control.member);
        return fail(
            "control.members",
            problem,
            "a list of all members with this one",
        );
    };
    let ports = [
        (
            "peer_addr",
            control.members[own].peer_addr,
            control.peer_listener,
        ),
        (
            "client_addr",
            control.members[own].client_addr,
            control.client_listener,
        ),
    ];
    for (name, given, listener) in ports {
        if given.port() != listener.port() {
            let path = format!("control.members[{own}].{name}");
            let problem = format!("port {} is not the one this node listens on", given.port());
            return fail(&path, problem, &listener.port().to_string());
        }
    }
    let tokens = control.admin_token_file.as_deref();
    check_admin("control", control.admin_listener, tokens)?;
    check_folder("control.data_dir", &control.data_dir)
}

/// An administration API that other hosts can reach needs tokens.
fn check_admin(
    section: &str,
    listener: Option<net::SocketAddr>,
    tokens: Option<&path::Path>,
) -> Checked {
    if let Some(file) = tokens {
        return check_file(&format!("{section}.admin_token_file"), file);
    }
    let open = listener.filter(|listener| !listener.ip().is_loopback());
    let Some(listener) = open else {
        return Ok(());
    };
    let path = format!("{section}.admin_listener");
    let problem = format!("{listener} is open without tokens");
    let allowed = format!("a loopback address, or any address with {section}.admin_token_file");
    fail(&path, problem, &allowed)
}

/// Checks both times where one file has them. Agents and control members on different hosts
/// are configured separately.
fn check_lease(cfg: &settings::Settings) -> Checked {
    let lease = cfg.control.as_ref().map(|control| control.lease_ms);
    if let Some(lease) = lease.filter(|lease| !LEASE_MS.contains(lease)) {
        let problem = format!("{lease} ms is out of range");
        let allowed = format!("{} to {}", LEASE_MS.start(), LEASE_MS.end());
        return fail("control.lease_ms", problem, &allowed);
    }
    let Some(agent) = &cfg.agent else {
        return Ok(());
    };
    let longest = lease.unwrap_or(*LEASE_MS.end()) / 2;
    if !(1..=longest).contains(&agent.order_limit_ms) {
        let problem = format!("{} ms is out of range", agent.order_limit_ms);
        let allowed = format!("1 to {longest}, half of the lease");
        return fail("agent.order_limit_ms", problem, &allowed);
    }
    Ok(())
}

fn check_addrs(path: &str, addrs: &[net::SocketAddr]) -> Checked {
    if addrs.is_empty() {
        return fail(path, "no address is given", "one or more of IP:PORT");
    }
    for (i, addr) in addrs.iter().enumerate() {
        check_reachable(&format!("{path}[{i}]"), *addr)?;
    }
    Ok(())
}

fn check_reachable(path: &str, addr: net::SocketAddr) -> Checked {
    if addr.ip().is_unspecified() || addr.port() == 0 {
        let problem = format!("other nodes can't reach {addr}");
        return fail(path, problem, "an IP address of a host and a port above 0");
    }
    Ok(())
}

fn check_folder(path: &str, folder: &path::Path) -> Checked {
    if folder.is_dir() {
        return Ok(());
    }
    let problem = format!("there is no folder {}", folder.display());
    fail(path, problem, "an existing folder")
}

fn check_file(path: &str, file: &path::Path) -> Checked {
    match fs::File::open(file).and_then(|f| f.metadata()) {
        Ok(data) if data.is_file() => Ok(()),
        Ok(_) => fail(
            path,
            format!("{} is not a file", file.display()),
            "a readable file",
        ),
        Err(e) => {
            let problem = format!("{} can't be read: {}", file.display(), e.kind());
            fail(path, problem, "a readable file")
        }
    }
}
