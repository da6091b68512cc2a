//! A running node.

use std::{sync, time};

use error_stack::ResultExt as _;

use crate::{
    agent_role, control_role, entry_role, node_addrs, node_context, node_error, stop_report,
};

/// Interval at which counters are exported.
const EXPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Share of the grace time, in percent, that requests in progress may take. The rest is for
/// handing over the lead and closing files.
const DRAIN_PERCENT: u32 = 90;

/// Longest time to stop the roles that have started when a later one fails.
const FAILED_START_GRACE: time::Duration = time::Duration::from_secs(2);

/// The roles of one process.
#[derive(Debug)]
pub struct Node {
    control: Option<control_role::ControlRole>,
    entry: Option<entry_role::EntryRole>,
    agent: Option<agent_role::AgentRole>,
    cx: node_context::NodeContext,
    _exporting: tokio_util::sync::DropGuard,
}

type Result<T> = std::result::Result<T, error_stack::Report<node_error::NodeError>>;

impl Node {
    /// Starts the roles of the settings: control, then entry, then agent, as each needs the
    /// one before. An agent waits until control has registered it.
    ///
    /// # Errors
    ///
    /// Returns an error where a role can't start. Roles that have started are stopped.
    pub async fn start(settings: &lift_settings::Settings, log: slog::Logger) -> Result<Self> {
        let cx = node_context::NodeContext::new(settings, log)?;
        let exporting = tokio_util::sync::CancellationToken::new();
        if let Some(receiver) = settings.metrics_receiver {
            let exporter = lift_obs::StatsdExporter::new(receiver)
                .change_context(node_error::NodeError::Metrics)?;
            let task = export(exporter, cx.counters.clone());
            tokio::spawn(exporting.clone().run_until_cancelled_owned(task));
        }
        let mut node = Self {
            control: None,
            entry: None,
            agent: None,
            cx,
            _exporting: exporting.drop_guard(),
        };
        if let Err(e) = node.start_roles(settings).await {
            // Files are closed before the error is returned, so that a new try finds them free.
            node.stop(FAILED_START_GRACE).await;
            return Err(e);
        }
        let cx = &node.cx;
        slog::info!(cx.log, "node started"; "host" => cx.location.host,
            "region" => &cx.location.region, "version" => env!("CARGO_PKG_VERSION"));
        Ok(node)
    }

    async fn start_roles(&mut self, settings: &lift_settings::Settings) -> Result<()> {
        let cx = &self.cx;
        if let Some(cfg) = section(settings, lift_settings::Role::Control, &settings.control)? {
            self.control = Some(control_role::ControlRole::start(cx, cfg).await?);
        }
        if let Some(cfg) = section(settings, lift_settings::Role::Entry, &settings.entry)? {
            self.entry = Some(entry_role::EntryRole::start(cx, cfg).await?);
        }
        if let Some(cfg) = section(settings, lift_settings::Role::Agent, &settings.agent)? {
            self.agent = Some(agent_role::AgentRole::start(cx, cfg).await?);
        }
        Ok(())
    }

    /// Addresses that the node listens on.
    pub fn addrs(&self) -> node_addrs::NodeAddrs {
        let entry = self.entry.as_ref();
        node_addrs::NodeAddrs {
            control: self.control.as_ref().map(control_role::ControlRole::addr),
            control_admin: self
                .control
                .as_ref()
                .and_then(control_role::ControlRole::admin_addr),
            caller: entry.map(entry_role::EntryRole::caller_addr),
            admin: entry.map(entry_role::EntryRole::admin_addr),
            relay: entry.map(entry_role::EntryRole::relay_addr),
            heartbeat: entry.map(entry_role::EntryRole::heartbeat_addr),
            call: self.agent.as_ref().map(agent_role::AgentRole::call_addr),
        }
    }

    /// Control operations as the entry of this node uses them, or else its control member.
    pub fn control(&self) -> Option<sync::Arc<dyn lift_rpc::ControlPort>> {
        let entry = self.entry.as_ref().map(entry_role::EntryRole::port);
        entry.or_else(|| self.control.as_ref().map(control_role::ControlRole::port))
    }

    /// Live agents that the entry of this node knows.
    pub fn live_agents(&self) -> Vec<lift_entry::LiveAgent> {
        let entry = self.entry.as_ref();
        entry
            .map(entry_role::EntryRole::live_agents)
            .unwrap_or_default()
    }

    /// Counters of the process.
    pub fn counters(&self) -> &sync::Arc<lift_obs::Counters> {
        &self.cx.counters
    }

    /// Stops gracefully within `grace`: turns readiness off, refuses new work, finishes the
    /// requests in progress, hands over the lead of the replicated log and closes all files.
    /// The entry drains first, while agent and control still answer it.
    pub async fn stop(&self, grace: time::Duration) -> stop_report::StopReport {
        let started = time::Instant::now();
        let left = || grace.saturating_sub(started.elapsed());
        let drain = grace * DRAIN_PERCENT / 100;
        slog::info!(self.cx.log, "node stops"; "grace_ms" => grace.as_millis() as u64);
        let mut cut_off = 0;
        if let Some(entry) = &self.entry {
            cut_off += entry.drain(drain).await;
        }
        if let Some(agent) = &self.agent {
            cut_off += agent.stop(drain.saturating_sub(started.elapsed())).await;
        }
        if let Some(entry) = &self.entry {
            entry.stop(left()).await;
        }
        if let Some(control) = &self.control {
            // Whatever is not closed in time ends with the process; the log allows that.
            let _ = tokio::time::timeout(left(), control.stop()).await;
        }
        let report = stop_report::StopReport {
            cut_off,
            took: started.elapsed(),
        };
        slog::info!(self.cx.log, "node stopped"; "cut_off" => cut_off,
            "took_ms" => report.took.as_millis() as u64);
        report
    }
}

/// Section of a role that the node has.
fn section<'a, T>(
    settings: &lift_settings::Settings,
    role: lift_settings::Role,
    section: &'a Option<T>,
) -> Result<Option<&'a T>> {
    if !settings.has(role) {
        return Ok(None);
    }
    let missing = || error_stack::Report::new(node_error::NodeError::Settings).attach(role);
    section.as_ref().map(Some).ok_or_else(missing)
}

async fn export(mut exporter: lift_obs::StatsdExporter, counters: sync::Arc<lift_obs::Counters>) {
    loop {
        tokio::time::sleep(EXPORT_INTERVAL).await;
        exporter.export(&counters);
    }
}
