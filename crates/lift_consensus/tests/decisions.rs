//! Guards consensus rules that the model test in `lift_disk` exercises only by chance.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time;

use lift_consensus::{Action, Event, LeadershipStatus, MessageBody, Refusal, Replica};
use rand::SeedableRng as _;

const ADDRESS: std::net::SocketAddr = std::net::SocketAddr::V4(std::net::SocketAddrV4::new(
    std::net::Ipv4Addr::LOCALHOST,
    1,
));

fn replica(id: u64, voters: u64, now: time::Instant) -> Replica {
    let member = lift_consensus::Member {
        role: lift_consensus::MemberRole::Voter,
        peer: ADDRESS,
        client: ADDRESS,
    };
    let members = lift_consensus::MemberSet::new();
    let cfg = lift_consensus::ReplicaConfig {
        id,
        members: (1..=voters).fold(members, |members, id| members.with(id, member)),
        ..lift_consensus::ReplicaConfig::default()
    };
    let rng = rand::rngs::StdRng::seed_from_u64(1);
    Replica::new(cfg, lift_consensus::RecoveredState::default(), now, rng)
}

fn message(from: u64, to: u64, term: u64, body: MessageBody) -> Event {
    Event::Message(lift_consensus::Message {
        from,
        to,
        term,
        body,
    })
}

/// Performs a step, and reports every write as synced and every entry as applied.
fn run(replica: &mut Replica, now: time::Instant, event: Event) -> Vec<Action> {
    let mut events = vec![event];
    let mut all = Vec::new();
    while let Some(event) = events.pop() {
        for action in replica.step(now, event) {
            match &action {
                Action::Write(write) => events.push(Event::Synced(write.number)),
                Action::Apply(entries) => {
                    events.push(Event::Applied(entries.last().unwrap().index));
                }
                _ => {}
            }
            all.push(action);
        }
    }
    all
}

/// Returns a leader of two voters in term 1 with its first entry committed, and the time.
fn leader_of_two() -> (Replica, time::Instant) {
    let start = time::Instant::now();
    let mut replica = replica(1, 2, start);
    let now = start + time::Duration::from_secs(1);
    run(&mut replica, now, Event::Tick);
    for kind in [
        lift_consensus::VoteKind::Pre,
        lift_consensus::VoteKind::Regular,
    ] {
        let granted = true;
        let reply = MessageBody::VoteReply { kind, granted };
        run(&mut replica, now, message(2, 1, 1, reply));
    }
    accept(&mut replica, now, 2, 1, start);
    (replica, now)
}

/// Confirms to the replica that `from` has synced all entries up to `matched`.
fn accept(
    replica: &mut Replica,
    now: time::Instant,
    from: u64,
    matched: u64,
    start: time::Instant,
) {
    let sent = now.duration_since(start).as_nanos() as u64;
    let reply = MessageBody::Accepted { matched, sent };
    run(replica, now, message(from, 1, 1, reply));
}

fn refusal(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|action| match action {
        Action::Refused(reason) => Some(*reason),
        _ => None,
    })
}

/// Guards against a learner that counts towards the quorum before it holds the log, and
/// against two concurrent membership changes.
#[test]
fn learner_is_promoted_only_after_it_has_caught_up() {
    let (mut leader, now) = leader_of_two();
    let start = now - time::Duration::from_secs(1);
    let add = lift_consensus::MemberChange::AddLearner {
        id: 3,
        peer: ADDRESS,
        client: ADDRESS,
    };
    assert_eq!(refusal(&run(&mut leader, now, Event::Change(add))), None);
    let promote = Event::Change(lift_consensus::MemberChange::Promote { id: 3 });
    let early = run(&mut leader, now, promote.clone());
    assert_eq!(refusal(&early), Some(Refusal::ChangePending));
    accept(&mut leader, now, 2, 2, start);
    let behind = run(&mut leader, now, promote.clone());
    assert_eq!(refusal(&behind), Some(Refusal::NotCaughtUp));
    accept(&mut leader, now, 3, 2, start);
    assert_eq!(refusal(&run(&mut leader, now, promote)), None);
    assert_eq!(leader.members().quorum(), 2);
}

/// Guards against a leader that keeps leading when no quorum replies, and against a leader
/// lease that lasts longer than the lease that its followers granted.
#[test]
fn leader_without_replies_steps_down_after_the_election_timeout() {
    let (mut leader, now) = leader_of_two();
    let LeadershipStatus::Leader { lease_until, .. } = leader.leadership_status() else {
        panic!("is not the leader");
    };
    let timing = lift_consensus::Timing::default();
    assert!(lease_until < now + timing.election_timeout);
    run(&mut leader, now + timing.election_timeout, Event::Tick);
    assert_eq!(
        leader.leadership_status(),
        LeadershipStatus::Follower { leader: None }
    );
    let refused = run(&mut leader, now, Event::Propose(vec!["late".into()]));
    assert_eq!(refusal(&refused), Some(Refusal::NotLeader));
}

/// Guards against two votes in one term, and against a vote that is sent before it is synced.
#[test]
fn vote_is_granted_once_per_term_and_sent_only_after_the_sync() {
    let start = time::Instant::now();
    let mut voter = replica(1, 3, start);
    let now = start + time::Duration::from_millis(301);
    let ask = MessageBody::Vote {
        kind: lift_consensus::VoteKind::Regular,
        last_index: 0,
        last_term: 0,
    };
    let unsynced = voter.step(now, message(2, 1, 1, ask.clone()));
    let sends = |action: &Action| matches!(action, Action::Send(_));
    assert!(!unsynced.iter().any(sends), "{unsynced:?}");
    let voted = Some(lift_consensus::HardState {
        term: 1,
        vote: Some(2),
    });
    let writes = |action: &Action| matches!(action, Action::Write(w) if w.hard_state == voted);
    assert!(unsynced.iter().any(writes), "{unsynced:?}");
    assert!(voter.step(now, Event::Synced(1)).iter().any(sends));
    let second = run(&mut voter, now, message(3, 1, 1, ask));
    let granted = second.iter().any(|action| {
        matches!(
            action,
            Action::Send(lift_consensus::Message {
                body: MessageBody::VoteReply { granted: true, .. },
                ..
            })
        )
    });
    assert!(!granted, "{second:?}");
}

/// Guards against a vote just after a confirmed heartbeat, even with a restart in between.
#[test]
fn no_vote_is_granted_while_a_granted_lease_may_be_valid() {
    let start = time::Instant::now();
    let mut restarted = replica(1, 3, start);
    let ask = MessageBody::Vote {
        kind: lift_consensus::VoteKind::Regular,
        last_index: 0,
        last_term: 0,
    };
    let now = start + time::Duration::from_millis(299);
    assert_eq!(
        run(&mut restarted, now, message(2, 1, 1, ask.clone())),
        vec![]
    );
    assert_eq!(restarted.term(), 0);
    let heartbeat = MessageBody::Append {
        prev_index: 0,
        prev_term: 0,
        entries: Vec::new(),
        commit: 0,
        sent: 0,
    };
    run(&mut restarted, now, message(3, 1, 1, heartbeat));
    let later = now + time::Duration::from_millis(299);
    assert_eq!(run(&mut restarted, later, message(2, 1, 2, ask)), vec![]);
    assert_eq!(restarted.term(), 1);
}

/// Guards against a leader that stays leader by heartbeats while its hanging disk blocks proposals.
#[test]
fn leader_steps_down_when_its_disk_hangs() {
    let (mut leader, mut now) = leader_of_two();
    let start = now - time::Duration::from_secs(1);
    leader.step(now, Event::Propose(vec!["never synced".into()]));
    for _ in 0..19 {
        now += time::Duration::from_millis(50);
        accept(&mut leader, now, 2, 1, start);
        leader.step(now, Event::Tick);
        assert!(leader.is_leading());
    }
    now += time::Duration::from_millis(50);
    accept(&mut leader, now, 2, 1, start);
    leader.step(now, Event::Tick);
    assert!(!leader.is_leading());
}

/// Guards against a leader that commits an entry that only one of two disks has synced.
#[test]
fn leader_counts_its_own_copy_only_after_the_sync() {
    let (mut leader, now) = leader_of_two();
    let start = now - time::Duration::from_secs(1);
    let actions = leader.step(now, Event::Propose(vec!["command".into()]));
    accept(&mut leader, now, 2, 2, start);
    assert_eq!(leader.commit_index(), 1);
    let number = actions.iter().find_map(|action| match action {
        Action::Write(write) => Some(write.number),
        _ => None,
    });
    leader.step(now, Event::Synced(number.unwrap()));
    assert_eq!(leader.commit_index(), 2);
}

/// Guards against confirming unsynced entries because others at their indexes were synced before.
#[test]
fn replacement_entries_are_confirmed_only_after_the_sync() {
    let now = time::Instant::now();
    let mut follower = replica(1, 3, now);
    let append = |from, term, prev: (u64, u64), count: u64| {
        let entries = (1..=count).map(|i| lift_consensus::Entry {
            index: prev.0 + i,
            term,
            payload: lift_consensus::Payload::Noop,
        });
        let body = MessageBody::Append {
            prev_index: prev.0,
            prev_term: prev.1,
            entries: entries.collect(),
            commit: 0,
            sent: 0,
        };
        message(from, 1, term, body)
    };
    run(&mut follower, now, append(2, 1, (0, 0), 5));
    // The new term is synced first, so that only the unsynced entries can delay the reply.
    run(&mut follower, now, append(3, 2, (2, 1), 0));
    follower.step(now, append(3, 2, (2, 1), 3));
    let confirmed = |actions: &[Action]| {
        let matched = actions.iter().filter_map(|action| match action {
            Action::Send(lift_consensus::Message {
                body: MessageBody::Accepted { matched, .. },
                ..
            }) => Some(*matched),
            _ => None,
        });
        matched.max()
    };
    let unsynced = follower.step(now, append(3, 2, (5, 2), 0));
    assert!(confirmed(&unsynced).is_none_or(|matched| matched <= 2));
    let synced = follower.step(now, Event::Synced(3));
    assert_eq!(confirmed(&synced), Some(5));
}

/// Guards against a member set that changes when the settings are edited before a restart.
#[test]
fn first_leader_writes_the_initial_members_into_the_log() {
    let start = time::Instant::now();
    let now = start + time::Duration::from_secs(1);
    let mut leader = replica(1, 1, start);
    let members = leader.members().clone();
    let mut entries = Vec::new();
    for action in run(&mut leader, now, Event::Tick) {
        if let Action::Write(write) = action {
            entries.extend(write.entries);
        }
    }
    let recovered = lift_consensus::RecoveredState {
        entries,
        ..lift_consensus::RecoveredState::default()
    };
    let cfg = lift_consensus::ReplicaConfig {
        id: 1,
        ..lift_consensus::ReplicaConfig::default()
    };
    let rng = rand::rngs::StdRng::seed_from_u64(1);
    assert_eq!(Replica::new(cfg, recovered, now, rng).members(), &members);
}

fn command(index: u64, term: u64) -> lift_consensus::Entry {
    lift_consensus::Entry {
        index,
        term,
        payload: lift_consensus::Payload::Command("c".into()),
    }
}

/// Returns what a follower applies, with `None` where the replay ends.
fn append(
    follower: &mut Replica,
    now: time::Instant,
    entries: Vec<lift_consensus::Entry>,
    commit: u64,
) -> Vec<Option<u64>> {
    let (prev_index, prev_term) = entries.first().map_or((0, 0), |entry| {
        let prev_term = [0, 1, 2, 2, 3][entry.index as usize - 1];
        (entry.index - 1, prev_term)
    });
    let body = MessageBody::Append {
        prev_index,
        prev_term,
        entries,
        commit,
        sent: 1,
    };
    let actions = run(follower, now, message(2, 1, 3, body));
    let applied = actions.into_iter().filter_map(|action| match action {
        Action::Apply(entries) => Some(entries.into_iter().map(|e| Some(e.index)).collect()),
        Action::EndReplay => Some(vec![None]),
        _ => None,
    });
    applied.collect::<Vec<Vec<_>>>().concat()
}

/// Guards against a command that is as old as the log but counts as new, because it was applied long
/// after the start of the member.
#[test]
fn commands_older_than_the_first_contact_are_replayed() {
    let start = time::Instant::now();
    let mut follower = replica(1, 2, start);
    let now = start + time::Duration::from_secs(60);
    let old = vec![command(1, 1), command(2, 2)];
    assert_eq!(append(&mut follower, now, old, 1), [Some(1)]);
    let later = now + time::Duration::from_secs(60);
    let unsent = vec![command(3, 2), command(4, 3)];
    let applied = append(&mut follower, later, unsent, 4);
    assert_eq!(applied, [Some(2), Some(3), None, Some(4)]);
    let applied = append(&mut follower, later, vec![command(5, 3)], 5);
    assert_eq!(applied, [Some(5)]);
}

#[test]
fn a_heartbeat_whose_commit_index_is_limited_does_not_end_the_replay() {
    let now = time::Instant::now() + time::Duration::from_secs(1);
    let mut follower = replica(1, 2, time::Instant::now());
    assert_eq!(append(&mut follower, now, Vec::new(), 0), []);
    let missed = vec![command(1, 3), command(2, 3)];
    let applied = append(&mut follower, now, missed, 2);
    assert_eq!(applied, [Some(1), Some(2)]);
}
