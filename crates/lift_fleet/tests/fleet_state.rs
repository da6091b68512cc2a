//! What control members agree on, and who they are.

use std::net;

use lift_fleet::{Document, FleetCommand, FleetReply, FleetState, MemberPlan, MemberSight};

fn replace(version: u64, text: &'static [u8]) -> FleetCommand {
    FleetCommand::Replace(Document {
        version,
        packed: bytes::Bytes::from_static(text),
    })
}

#[test]
fn the_highest_document_stays() {
    // Guards against a configuration that reverts, and against other content under a version
    // that is held.
    let mut state = FleetState::new();
    assert_eq!(state.apply(replace(5, b"five")), FleetReply::Applied);
    assert_eq!(state.apply(replace(3, b"three")), FleetReply::Overtaken);
    assert_eq!(state.apply(replace(5, b"other")), FleetReply::Overtaken);
    assert_eq!(state.document().map(|d| &d.packed[..]), Some(&b"five"[..]));
    assert_eq!(state.apply(replace(6, b"six")), FleetReply::Applied);
    assert_eq!(state.document_version(), 6);
}

#[test]
fn the_newest_weights_of_each_model_stay() {
    let name = |model: &str, version| FleetCommand::NameWeights {
        model: String::from(model),
        version,
    };
    let mut state = FleetState::new();
    assert_eq!(state.apply(name("m", 2)), FleetReply::Applied);
    assert_eq!(state.apply(name("m", 2)), FleetReply::Overtaken);
    assert_eq!(state.apply(name("m", 1)), FleetReply::Overtaken);
    assert_eq!(state.apply(name("n", 1)), FleetReply::Applied);
    assert_eq!(state.weights().get("m"), Some(&2));
}

fn sight(id: u64, is_voter: bool, is_answering: bool) -> MemberSight {
    MemberSight {
        id,
        peer: net::SocketAddr::from(([10, 0, 0, id as u8], 7000)),
        is_voter,
        is_answering,
    }
}

#[test]
fn a_member_whose_disk_was_lost_makes_room_for_itself() {
    // Guards against a lost disk that counts as a voter for ever.
    let members = [sight(1, true, true), sight(2, true, false)];
    let plan = MemberPlan::for_newcomer(&members, members[1].peer);
    assert_eq!(plan, MemberPlan::Remove(2));
    let elsewhere = net::SocketAddr::from(([10, 0, 0, 9], 7000));
    assert_eq!(
        MemberPlan::for_newcomer(&members, elsewhere),
        MemberPlan::Add
    );
}

#[test]
fn a_lost_voter_is_removed_only_where_that_helps() {
    // Guards against a cluster that shrinks by one with each member that is cut off.
    let five = [1, 2, 3, 4, 5].map(|id| sight(id, true, id != 5));
    assert_eq!(MemberPlan::upkeep(&five), None);
    let six = [1, 2, 3, 4, 5, 6].map(|id| sight(id, true, id != 6));
    assert_eq!(MemberPlan::upkeep(&six), Some(MemberPlan::Remove(6)));
    let learner = [sight(1, true, true), sight(2, false, true)];
    assert_eq!(MemberPlan::upkeep(&learner), Some(MemberPlan::Promote(2)));
    let lost_learner = [sight(1, true, true), sight(2, false, false)];
    assert_eq!(MemberPlan::upkeep(&lost_learner), None);
}
