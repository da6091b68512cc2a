//! Guards against replicated state that goes back to an older version, and against wrong changes
//! to the set of control members.

use std::net;

use lift_fleet::{Document, FleetCommand, FleetReply, FleetState, MemberStatus, MembershipAction};

fn replace(version: u64, text: &'static [u8]) -> FleetCommand {
    FleetCommand::Replace(Document {
        version,
        compressed: bytes::Bytes::from_static(text),
    })
}

#[test]
fn the_document_with_the_highest_version_is_kept() {
    // Guards against a configuration that reverts to an older version, and against a second
    // document with the same version.
    let mut state = FleetState::new();
    assert_eq!(state.apply(1, replace(5, b"five")), FleetReply::Applied);
    assert_eq!(state.apply(2, replace(3, b"three")), FleetReply::Overtaken);
    assert_eq!(state.apply(3, replace(5, b"other")), FleetReply::Overtaken);
    assert_eq!(
        state.document().map(|d| &d.compressed[..]),
        Some(&b"five"[..])
    );
    assert_eq!(state.apply(4, replace(6, b"six")), FleetReply::Applied);
    assert_eq!(state.document_version(), 6);
}

#[test]
fn the_newest_target_version_of_each_model_is_kept() {
    let set_target = |model: &str, version| FleetCommand::SetTargetVersion {
        model: String::from(model),
        version,
    };
    let mut state = FleetState::new();
    assert_eq!(state.apply(1, set_target("m", 2)), FleetReply::Applied);
    assert_eq!(state.apply(2, set_target("m", 2)), FleetReply::Overtaken);
    assert_eq!(state.apply(3, set_target("m", 1)), FleetReply::Overtaken);
    assert_eq!(state.apply(4, set_target("n", 1)), FleetReply::Applied);
    assert_eq!(state.target_versions().get("m"), Some(&2));
}

fn member(id: u64, is_voter: bool, is_responsive: bool) -> MemberStatus {
    MemberStatus {
        id,
        peer: net::SocketAddr::from(([10, 0, 0, id as u8], 7000)),
        is_voter,
        is_responsive,
    }
}

#[test]
fn a_host_that_rejoins_with_an_empty_disk_is_removed_first() {
    // Guards against a member that lost its disk but counts as a voter forever.
    let members = [member(1, true, true), member(2, true, false)];
    let action = MembershipAction::for_join_request(&members, members[1].peer);
    assert_eq!(action, MembershipAction::Remove(2));
    let elsewhere = net::SocketAddr::from(([10, 0, 0, 9], 7000));
    assert_eq!(
        MembershipAction::for_join_request(&members, elsewhere),
        MembershipAction::Add
    );
}

#[test]
fn an_unresponsive_voter_is_removed_only_from_an_even_number() {
    // Guards against a cluster that shrinks by one with each unreachable member.
    let five = [1, 2, 3, 4, 5].map(|id| member(id, true, id != 5));
    assert_eq!(MembershipAction::next_due(&five), None);
    let six = [1, 2, 3, 4, 5, 6].map(|id| member(id, true, id != 6));
    assert_eq!(
        MembershipAction::next_due(&six),
        Some(MembershipAction::Remove(6))
    );
    let learner = [member(1, true, true), member(2, false, true)];
    assert_eq!(
        MembershipAction::next_due(&learner),
        Some(MembershipAction::Promote(2))
    );
    let lost_learner = [member(1, true, true), member(2, false, false)];
    assert_eq!(MembershipAction::next_due(&lost_learner), None);
}
