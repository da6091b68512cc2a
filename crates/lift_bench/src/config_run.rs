//! The configuration experiment.

use std::time;

use error_stack::ResultExt as _;
use lift_rpc::ControlPort as _;
use tokio::sync::watch;

use crate::{
    bench_error, config_changes, config_cluster, config_fault, config_faults, config_fleet,
    config_operator, config_options, config_report, config_tally, config_usage,
};

type Result<T> = std::result::Result<T, error_stack::Report<bench_error::BenchError>>;

/// Time for which the fleet is measured without changes.
const IDLE: time::Duration = time::Duration::from_secs(4);

/// Time for all nodes to start, and to have the last revision at the end.
const SETTLE: time::Duration = time::Duration::from_secs(30);

/// Changes in a second at the size of design section 1.6: 22,000 a day.
const CHANGES_PER_S: f64 = 22_000.0 / 86_400.0;

/// Runs members, entries and nodes in this process on loopback, with synced disks in a
/// temporary folder, makes changes and injects a fault.
///
/// # Errors
///
/// Returns an error where an option is not valid, a part can't be started or the run takes
/// too long.
pub async fn run_config(
    options: &config_options::ConfigOptions,
) -> Result<config_report::ConfigReport> {
    options.check()?;
    let for_changes = time::Duration::from_millis(options.pause_ms + 20) * options.changes as u32;
    let limit = SETTLE * 5 + for_changes;
    let seconds = limit.as_secs();
    tokio::time::timeout(limit, run(options))
        .await
        .change_context(bench_error::BenchError::Timeout { seconds })?
}

async fn run(options: &config_options::ConfigOptions) -> Result<config_report::ConfigReport> {
    let mut report = config_report::ConfigReport {
        members: options.members,
        nodes: options.nodes,
        fault: options.fault,
        ..config_report::ConfigReport::default()
    };
    let keys = lift_wire::LinkKeys::new(lift_wire::LinkKey::new(1, rand::random()));
    let mut cluster = config_cluster::ConfigCluster::start(options.members, &keys).await?;
    let mut fleet = config_fleet::ConfigFleet::start(&cluster.addresses(), &keys).await?;
    publish(&fleet).await?;

    let memory = config_usage::memory_bytes();
    fleet.start_nodes(options.nodes, &keys, SETTLE).await?;
    let idle = Usage::over(&fleet, tokio::time::sleep(IDLE)).await.0;
    let growth = config_usage::memory_bytes().saturating_sub(memory);
    report.memory_per_node_bytes = growth / u64::from(options.nodes.max(1));

    let progress = watch::Sender::new(0);
    let followed = progress.subscribe();
    let changing = async {
        let clients = [fleet.operator(0), fleet.operator(1)];
        let changing = config_changes::make(options, clients, &progress);
        Usage::over(&fleet, changing).await
    };
    let injecting = config_faults::inject(options, &mut cluster, &fleet, followed);
    let ((busy, sent), fault_at) = tokio::join!(changing, injecting);
    let last = sent
        .iter()
        .filter_map(config_operator::Sent::revision)
        .max();
    fleet
        .wait_for_revision(last.unwrap_or_default(), SETTLE)
        .await?;

    config_tally::count_answers(&mut report, &sent, fault_at?)?;
    config_tally::count_in_force(&mut report, &sent, &fleet.nodes)?;
    count_usage(&mut report, &idle, &busy);
    let leader = cluster.leader().await?;
    if let Some(machine) = cluster.members[leader].machine() {
        config_tally::count_lost(&mut report, &sent, &fleet.nodes, machine.state());
    }
    let follower = cluster.follower(leader);
    if let Some(follower) = follower {
        let took = cluster
            .time_restart(follower, last.unwrap_or_default())
            .await?;
        report.restart_ms = took.as_secs_f64() * 1_000.0;
    }
    if options.fault != config_fault::ConfigFault::Race {
        // A single operator never races with itself.
        report.lost += report.conflicts;
    }
    Ok(report)
}

/// Makes the versions known that the edits name.
async fn publish(fleet: &config_fleet::ConfigFleet) -> Result<()> {
    let operator = fleet.operator(0);
    for version in ["v1", "v2"] {
        let manifest = lift_types::Manifest::of(String::from(version), version.as_bytes(), 1);
        operator
            .publish(manifest)
            .await
            .change_context(bench_error::BenchError::Start)?;
    }
    Ok(())
}

/// What the process and the connections of the nodes used.
#[derive(Clone, Copy, Debug)]
struct Usage {
    time: f64,
    cpu: f64,
    bytes: f64,
}

impl Usage {
    async fn over<T>(
        fleet: &config_fleet::ConfigFleet,
        work: impl Future<Output = T>,
    ) -> (Self, T) {
        let (began, cpu, bytes) = (
            time::Instant::now(),
            config_usage::cpu_time(),
            fleet.node_bytes(),
        );
        let result = work.await;
        let usage = Self {
            time: began.elapsed().as_secs_f64(),
            cpu: (config_usage::cpu_time() - cpu).as_secs_f64(),
            bytes: (fleet.node_bytes() - bytes) as f64,
        };
        (usage, result)
    }
}

/// Adds what a node uses without changes and what the changes of a day add to it.
fn count_usage(report: &mut config_report::ConfigReport, idle: &Usage, busy: &Usage) {
    let nodes = f64::from(report.nodes.max(1));
    let changes = (report.changes as f64).max(1.0);
    let (idle_bytes, idle_cpu) = (idle.bytes / idle.time, idle.cpu / idle.time);
    let change_bytes = (busy.bytes - idle_bytes * busy.time).max(0.0) / changes;
    let change_cpu = (busy.cpu - idle_cpu * busy.time).max(0.0) / changes;
    report.bytes_per_node_change = change_bytes / nodes;
    report.bytes_per_node_s = (idle_bytes + change_bytes * CHANGES_PER_S) / nodes;
    report.cpu_share_per_node = (idle_cpu + change_cpu * CHANGES_PER_S) / nodes;
}
