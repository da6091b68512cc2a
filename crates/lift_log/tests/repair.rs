//! Guards against lost commands when disks are lost and members are replaced.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod common;

use std::time;

use lift_log::ReplicatedLog as _;

/// Makes a change of members through whoever leads, until it is no longer refused.
async fn change(cluster: &common::Cluster, change: lift_consensus::MemberChange) {
    let until = time::Instant::now() + common::PATIENCE;
    loop {
        let leader = cluster.leader().await;
        let changed = cluster.members[leader].driver().change_member(change).await;
        let Err(e) = changed else { return };
        assert!(time::Instant::now() < until, "{e:?}");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

/// Loses the disk of a member and replaces it by a new member. Returns its position.
async fn replace(cluster: &mut common::Cluster, lost: usize, new_id: u64) -> usize {
    cluster.kill(lost).await;
    let member = common::Member::new(new_id);
    let (peer, client) = (member.address(), member.address());
    cluster.members.push(member);
    let position = cluster.members.len() - 1;
    cluster.start_member(position).await.unwrap();
    let id = new_id;
    change(
        cluster,
        lift_consensus::MemberChange::AddLearner { id, peer, client },
    )
    .await;
    change(cluster, lift_consensus::MemberChange::Promote { id }).await;
    let id = cluster.members[lost].id;
    change(cluster, lift_consensus::MemberChange::Remove { id }).await;
    position
}

/// Guards against a new member that counts towards the quorum before it holds the log: the
/// second host is lost right after the repair.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_loss_right_after_a_repair_loses_nothing() {
    let limits = lift_consensus::Limits {
        snapshot_after_entries: 50,
        keep_entries: 10,
        snapshot_part_bytes: 5,
        ..lift_consensus::Limits::default()
    };
    let mut cluster = common::Cluster::start_with(3, limits).await;
    for _ in 0..120 {
        cluster.commit("command").await;
    }
    let first = cluster.leader().await;
    let repaired = replace(&mut cluster, first, 4).await;
    let second = (0..3).find(|position| *position != first).unwrap();
    cluster.kill(second).await;
    cluster.commit("after the second loss").await;
    cluster.converge().await;
    assert!(cluster.members[repaired].driver.is_some());
    replace(&mut cluster, second, 5).await;
    cluster.commit("after the second repair").await;
    cluster.converge().await;
}

/// Guards against a host that votes again under the identifier of its lost disk.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_disk_is_refused_under_its_old_identifier() {
    let mut cluster = common::Cluster::start(3).await;
    cluster.commit("before").await;
    cluster.converge().await;
    let leader = cluster.leader().await;
    let lost = (leader + 1) % 3;
    cluster.kill(lost).await;
    cluster.members[lost].folder = tempfile::tempdir().unwrap();
    cluster.start_member(lost).await.unwrap();
    let until = time::Instant::now() + common::PATIENCE;
    loop {
        let e = cluster.propose(lost, "x").await.unwrap_err();
        if *e.current_context() == lift_log::ProposeError::Stopped {
            break;
        }
        assert!(time::Instant::now() < until, "the member still runs");
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    cluster.commit("after").await;
    cluster.history.verify();
    let id = cluster.members[lost].id;
    let address = cluster.members[lost].address();
    let again = lift_consensus::MemberChange::AddLearner {
        id,
        peer: address,
        client: address,
    };
    let leader = cluster.leader().await;
    let refused = cluster.members[leader].driver().change_member(again).await;
    let refusal = lift_log::ChangeError::Refused(lift_consensus::Refusal::IdUsed);
    assert_eq!(*refused.unwrap_err().current_context(), refusal);
}

/// Guards against a member that starts from the folder of another one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_folder_of_another_member_is_refused() {
    let mut cluster = common::Cluster::start(1).await;
    cluster.commit("before").await;
    cluster.kill(0).await;
    cluster.members[0].id = 2;
    let e = cluster.start_member(0).await.unwrap_err();
    assert!(format!("{e:?}").contains("belongs to member 1"), "{e:?}");
}
