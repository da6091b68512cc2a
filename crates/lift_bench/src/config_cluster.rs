//! The control members of the configuration experiment.

use std::{net, sync, time};

use error_stack::ResultExt as _;

use crate::{bench_error, config_forwarder, config_member};

type Result<T> = std::result::Result<T, error_stack::Report<bench_error::BenchError>>;

/// Interval at which the experiment looks whether something has happened.
const POLL: time::Duration = time::Duration::from_millis(2);

/// Time for anything that the experiment waits for.
const WAIT: time::Duration = time::Duration::from_secs(20);

/// Members on synced folders, joined by real connections.
#[derive(Debug)]
pub(crate) struct ConfigCluster {
    pub(crate) members: Vec<config_member::ConfigMember>,
    initial: Vec<(lift_types::MemberId, net::SocketAddr, net::SocketAddr)>,
    switch: sync::Arc<lift_log::LinkSwitch>,
    keys: lift_wire::LinkKeys,
    folder: tempfile::TempDir,
}

impl ConfigCluster {
    /// Starts the members and waits for a leader.
    pub(crate) async fn start(members: u64, keys: &lift_wire::LinkKeys) -> Result<Self> {
        let folder = tempfile::tempdir().change_context(bench_error::BenchError::Start)?;
        let mut cluster = Self {
            members: Vec::new(),
            initial: Vec::new(),
            switch: sync::Arc::default(),
            keys: keys.clone(),
            folder,
        };
        for id in 1..=members {
            let member = cluster.new_member(id).await?;
            let client = member.forwarder.address();
            cluster.initial.push((id, member.peer()?, client));
            cluster.members.push(member);
        }
        for at in 0..cluster.members.len() {
            cluster.restart(at).await?;
        }
        cluster.leader().await?;
        Ok(cluster)
    }

    /// Where clients reach the members.
    pub(crate) fn addresses(&self) -> Vec<net::SocketAddr> {
        self.members.iter().map(|m| m.forwarder.address()).collect()
    }

    /// Position of the leader, once there is one.
    pub(crate) async fn leader(&self) -> Result<usize> {
        let began = time::Instant::now();
        while began.elapsed() < WAIT {
            let found = self
                .members
                .iter()
                .position(config_member::ConfigMember::is_leading);
            if let Some(found) = found {
                return Ok(found);
            }
            tokio::time::sleep(POLL).await;
        }
        Err(timeout())
    }

    /// Position of a member that is up and does not lead.
    pub(crate) fn follower(&self, leader: usize) -> Option<usize> {
        let up = |at: &usize| *at != leader && self.members[*at].driver().is_some();
        (0..self.members.len()).find(up)
    }

    /// Starts a member from its folder.
    pub(crate) async fn restart(&mut self, at: usize) -> Result<()> {
        let (switch, keys) = (&self.switch, &self.keys);
        let member = &mut self.members[at];
        let is_initial = self.initial.iter().any(|(id, ..)| *id == member.id);
        let initial = if is_initial { &self.initial[..] } else { &[] };
        member.start(initial, switch, keys).await
    }

    /// Restarts a member and returns the time until it has `revision` again.
    pub(crate) async fn time_restart(
        &mut self,
        at: usize,
        revision: lift_types::Revision,
    ) -> Result<time::Duration> {
        self.members[at].kill().await;
        let began = time::Instant::now();
        self.restart(at).await?;
        while began.elapsed() < WAIT {
            let machine = self.members[at].machine();
            if machine.is_some_and(|m| m.state().policy().revision >= revision) {
                return Ok(began.elapsed());
            }
            tokio::time::sleep(POLL).await;
        }
        Err(timeout())
    }

    /// Cuts a member off from the other members and from clients, without an error.
    pub(crate) fn cut(&self, at: usize) {
        let own = &self.members[at];
        own.forwarder.set(config_forwarder::Path::Cut);
        for other in &self.members {
            self.switch.cut(own.id, other.id);
        }
    }

    /// Connects a member again. Its open connections stay silent.
    pub(crate) fn heal(&self, at: usize, path: config_forwarder::Path) {
        let own = &self.members[at];
        own.forwarder.set(path);
        for other in &self.members {
            self.switch.heal(own.id, other.id);
        }
    }

    /// Replaces a member whose disk was lost by one with a new identity, as an operator
    /// would: learner, then voter, then the old identity is removed.
    pub(crate) async fn replace(
        &mut self,
        at: usize,
        operator: &dyn lift_rpc::ControlPort,
    ) -> Result<()> {
        let lost = self.members[at].id;
        let id = self.members.iter().map(|m| m.id).max().unwrap_or_default() + 1;
        let member = self.new_member(id).await?;
        let (peer, client) = (member.peer()?, member.forwarder.address());
        self.members.push(member);
        change(
            operator,
            lift_consensus::MemberChange::AddLearner { id, peer, client },
        )
        .await?;
        self.restart(self.members.len() - 1).await?;
        change(operator, lift_consensus::MemberChange::Promote { id }).await?;
        change(operator, lift_consensus::MemberChange::Remove { id: lost }).await
    }

    async fn new_member(&self, id: lift_types::MemberId) -> Result<config_member::ConfigMember> {
        let folder = self.folder.path().join(id.to_string());
        config_member::ConfigMember::new(id, folder).await
    }
}

/// Repeats a change of members until it is in effect. A learner is promoted only once it
/// has caught up, and the answer to a change may be lost.
async fn change(
    operator: &dyn lift_rpc::ControlPort,
    change: lift_consensus::MemberChange,
) -> Result<()> {
    let began = time::Instant::now();
    while began.elapsed() < WAIT {
        if operator.change_member(change).await.is_ok() {
            return Ok(());
        }
        if let Ok(members) = operator.members().await
            && is_in_effect(&members, change)
        {
            return Ok(());
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    Err(timeout())
}

fn is_in_effect(members: &lift_consensus::MemberSet, change: lift_consensus::MemberChange) -> bool {
    match change {
        lift_consensus::MemberChange::AddLearner { id, .. } => members.get(id).is_some(),
        lift_consensus::MemberChange::Promote { id } => members.is_voter(id),
        lift_consensus::MemberChange::Remove { id } => members.get(id).is_none(),
    }
}

fn timeout() -> error_stack::Report<bench_error::BenchError> {
    error_stack::Report::new(bench_error::BenchError::Timeout {
        seconds: WAIT.as_secs(),
    })
}
