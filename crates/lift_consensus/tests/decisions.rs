//! Guards single decisions that the model test in `lift_disk` meets only by chance.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time;

use lift_consensus::{Action, Event, MessageBody, Refusal, Replica, Standing};
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
    Replica::new(cfg, lift_consensus::Restored::default(), now, rng)
}

fn message(from: u64, to: u64, term: u64, body: MessageBody) -> Event {
    Event::Message(lift_consensus::Message {
        from,
        to,
        term,
        body,
    })
}

/// Takes one step, and reports each write as synced and each entry as applied.
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

/// A leader of two voters in term 1 that has committed its first entry, and the time.
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
/// against two changes of members at a time.
#[test]
fn a_learner_is_promoted_only_once_caught_up() {
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

/// Guards against a leader that goes on when no quorum answers, and against a lease that
/// outlasts the promise of its followers.
#[test]
fn a_leader_without_answers_stops_within_its_lease() {
    let (mut leader, now) = leader_of_two();
    let Standing::Leader { lease_until, .. } = leader.standing() else {
        panic!("does not lead");
    };
    let timing = lift_consensus::Timing::default();
    assert!(lease_until < now + timing.election);
    run(&mut leader, now + timing.election, Event::Tick);
    assert_eq!(leader.standing(), Standing::Follower { leader: None });
    let refused = run(&mut leader, now, Event::Propose(vec!["late".into()]));
    assert_eq!(refusal(&refused), Some(Refusal::NotLeader));
}

/// Guards against a second vote in a term, and against a vote that is sent before it is
/// synced.
#[test]
fn a_vote_is_given_once_and_only_after_the_sync() {
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

/// Guards against a vote that a member gives although it has just confirmed a heartbeat,
/// also across a restart.
#[test]
fn no_vote_is_given_while_a_promise_may_hold() {
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

/// Guards against a leader whose disk hangs: it still sends heartbeats, but nobody gets an
/// answer.
#[test]
fn a_leader_whose_disk_hangs_gives_up_the_lead() {
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

/// Guards against a leader that commits what only one of two disks holds.
#[test]
fn a_leader_counts_itself_only_once_synced() {
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

/// Guards against a follower that confirms replaced entries because others at the same
/// positions were synced before.
#[test]
fn replaced_entries_are_confirmed_only_once_synced() {
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
    let synced = follower.step(now, Event::Synced(2));
    assert_eq!(confirmed(&synced), Some(5));
}
