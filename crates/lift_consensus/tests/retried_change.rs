//! Guards against the refusal of a retried member change that already took effect but whose
//! reply was lost, and against treating a change that did not take effect as such a retry.

use lift_consensus::{Member, MemberChange, MemberRole, MemberSet};

fn address(port: u16) -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], port))
}

fn member(role: MemberRole, port: u16) -> Member {
    Member {
        role,
        peer: address(port),
        client: address(port + 1),
    }
}

fn add(id: u64, port: u16) -> MemberChange {
    MemberChange::AddLearner {
        id,
        peer: address(port),
        client: address(port + 1),
    }
}

#[test]
fn only_a_change_that_took_effect_counts_as_applied() {
    let members = MemberSet::new()
        .with(1, member(MemberRole::Voter, 10))
        .with(2, member(MemberRole::Voter, 20))
        .with(3, member(MemberRole::Learner, 30))
        .without(1);
    assert!(members.has_applied(&MemberChange::Remove { id: 1 }));
    assert!(!members.has_applied(&MemberChange::Remove { id: 2 }));
    assert!(!members.has_applied(&MemberChange::Remove { id: 9 }));
    assert!(members.has_applied(&add(3, 30)));
    assert!(!members.has_applied(&add(3, 40)));
    assert!(!members.has_applied(&add(1, 10)));
    assert!(!members.has_applied(&add(2, 20)));
    assert!(members.has_applied(&MemberChange::Promote { id: 2 }));
    assert!(!members.has_applied(&MemberChange::Promote { id: 3 }));
}
