//! Members of control from the replicated log.

use std::sync;

/// Shows and changes the members of the log of this process.
#[derive(Debug)]
pub(crate) struct LogMembers {
    log: sync::Arc<dyn lift_log::ReplicatedLog>,
}

impl LogMembers {
    /// Reads `log`.
    pub(crate) fn new(log: sync::Arc<dyn lift_log::ReplicatedLog>) -> Self {
        Self { log }
    }

    fn state(&self) -> String {
        let leadership = self.log.leadership().borrow().clone();
        String::from(match leadership {
            lift_log::Leadership::Leader { .. } => "leader",
            lift_log::Leadership::Follower { .. } => "follower",
        })
    }
}

#[async_trait::async_trait]
impl lift_admin::ControlMembers for LogMembers {
    fn members(&self) -> Vec<lift_admin::ControlMemberStatus> {
        let status = self.log.members();
        let member = |(id, member): (lift_types::MemberId, &lift_consensus::Member)| {
            lift_admin::ControlMemberStatus {
                id,
                role: member.role.to_string(),
                peer: member.peer,
                client: member.client,
                state: (id == status.id).then(|| self.state()),
            }
        };
        status.members.iter().map(member).collect()
    }

    async fn change(
        &self,
        change: lift_admin::ControlChange,
    ) -> Result<(), error_stack::Report<lift_admin::ControlChangeError>> {
        let change = match change {
            lift_admin::ControlChange::Add { id, peer, client } => {
                lift_consensus::MemberChange::AddLearner { id, peer, client }
            }
            lift_admin::ControlChange::Promote { id } => {
                lift_consensus::MemberChange::Promote { id }
            }
            lift_admin::ControlChange::Remove { id } => lift_consensus::MemberChange::Remove { id },
        };
        let changed = self.log.change_member(change).await;
        changed.map_err(|report| {
            let error = match report.current_context() {
                lift_log::ChangeError::Refused(lift_consensus::Refusal::NotLeader) => {
                    lift_admin::ControlChangeError::NotLeader
                }
                lift_log::ChangeError::Refused(refusal) => {
                    lift_admin::ControlChangeError::Refused(refusal_text(*refusal))
                }
                lift_log::ChangeError::Unknown | lift_log::ChangeError::Stopped => {
                    lift_admin::ControlChangeError::Unknown
                }
            };
            report.change_context(error)
        })
    }
}

fn refusal_text(refusal: lift_consensus::Refusal) -> String {
    String::from(match refusal {
        lift_consensus::Refusal::NotLeader => "this control member does not lead",
        lift_consensus::Refusal::ChangePending => "an earlier change of members is not committed",
        lift_consensus::Refusal::IdUsed => "the identifier was used before; take a higher one",
        lift_consensus::Refusal::NoSuchMember => "there is no such member",
        lift_consensus::Refusal::NotCaughtUp => "the member has not caught up yet; try again",
        lift_consensus::Refusal::LastVoter => "the change would leave no voter",
    })
}

/// A control member that is no entry knows no agents.
#[derive(Debug)]
pub(crate) struct NoFleet;

#[async_trait::async_trait]
impl lift_admin::FleetView for NoFleet {
    fn members(&self) -> Vec<lift_admin::FleetMember> {
        Vec::new()
    }

    async fn drain(
        &self,
        host: lift_types::HostId,
    ) -> Result<(), error_stack::Report<lift_admin::FleetError>> {
        Err(lift_admin::FleetError::UnknownHost(host).into())
    }
}
