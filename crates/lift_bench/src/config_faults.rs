//! Injection of the faults of the configuration experiment.

use std::time;

use tokio::sync::watch;

use crate::{bench_error, config_cluster, config_fault, config_fleet, config_options};

type Result<T> = std::result::Result<T, error_stack::Report<bench_error::BenchError>>;

/// Time for which a killed leader is down.
const DOWN: time::Duration = time::Duration::from_secs(3);

/// Time for which a leader is cut off. It is longer than
/// [`lift_types::PolicyView::CONFIRM_TIMEOUT`].
const CUT: time::Duration = time::Duration::from_secs(5);

/// Waits for a third of the changes, injects the fault, and returns when the leader was
/// lost.
pub(crate) async fn inject(
    options: &config_options::ConfigOptions,
    cluster: &mut config_cluster::ConfigCluster,
    fleet: &config_fleet::ConfigFleet,
    mut progress: watch::Receiver<u64>,
) -> Result<Option<time::Instant>> {
    let third = options.changes / 3;
    if progress.wait_for(|made| *made >= third).await.is_err() {
        return Ok(None);
    }
    let leader = cluster.leader().await?;
    match options.fault {
        config_fault::ConfigFault::None | config_fault::ConfigFault::Race => Ok(None),
        config_fault::ConfigFault::KillLeader => {
            let at = time::Instant::now();
            cluster.members[leader].kill().await;
            tokio::time::sleep(DOWN).await;
            cluster.restart(leader).await?;
            Ok(Some(at))
        }
        config_fault::ConfigFault::CutLeader => {
            let at = time::Instant::now();
            let path = cluster.members[leader].forwarder.path();
            cluster.cut(leader);
            fleet.cut_region();
            tokio::time::sleep(CUT).await;
            cluster.heal(leader, path);
            fleet.heal_region();
            Ok(Some(at))
        }
        config_fault::ConfigFault::LoseDisk => lose_disk(cluster, leader).await.map(Some),
    }
}

/// A follower loses its disk and is replaced. Right after that the leader is lost, so that
/// the new member is needed for the quorum.
async fn lose_disk(
    cluster: &mut config_cluster::ConfigCluster,
    leader: usize,
) -> Result<time::Instant> {
    let lost = (leader + 1) % cluster.members.len();
    cluster.members[lost].kill().await;
    let removed = std::fs::remove_dir_all(&cluster.members[lost].folder);
    removed.map_err(|_| error_stack::Report::new(bench_error::BenchError::Start))?;
    cluster.replace(lost).await?;
    let leader = cluster.leader().await?;
    let at = time::Instant::now();
    cluster.members[leader].kill().await;
    Ok(at)
}
