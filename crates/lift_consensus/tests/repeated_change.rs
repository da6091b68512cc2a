//! Guards against a refusal of a change of members that took effect and is made again after
//! its answer was lost.

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
fn only_a_change_that_took_effect_is_a_repeat() {
    let members = MemberSet::new()
        .with(1, member(MemberRole::Voter, 10))
        .with(2, member(MemberRole::Voter, 20))
        .with(3, member(MemberRole::Learner, 30))
        .without(1);
    assert!(members.reflects(&MemberChange::Remove { id: 1 }));
    assert!(!members.reflects(&MemberChange::Remove { id: 2 }));
    assert!(!members.reflects(&MemberChange::Remove { id: 9 }));
    assert!(members.reflects(&add(3, 30)));
    assert!(!members.reflects(&add(3, 40)));
    assert!(!members.reflects(&add(1, 10)));
    assert!(!members.reflects(&add(2, 20)));
    assert!(members.reflects(&MemberChange::Promote { id: 2 }));
    assert!(!members.reflects(&MemberChange::Promote { id: 3 }));
}
