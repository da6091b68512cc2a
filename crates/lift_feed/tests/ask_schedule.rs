//! Which control members a node asks, and how often.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time;

/// Members of the simulated control cluster.
const MEMBERS: usize = 9;

/// Time between two ticks of a connection, in milliseconds.
const TICK_MS: u64 = 400;

/// A node with a connection to each member, in virtual time. Answers arrive at once.
struct Node {
    start: time::Instant,
    schedules: Vec<lift_feed::AskSchedule>,
    leader_asked_at: Option<time::Instant>,
    questions: Vec<usize>,
}

impl Node {
    fn new() -> Self {
        Self {
            start: time::Instant::now(),
            schedules: vec![lift_feed::AskSchedule::default(); MEMBERS],
            leader_asked_at: None,
            questions: vec![0; MEMBERS],
        }
    }

    /// Plays the ticks from `from_ms` to `to_ms`.
    fn play(&mut self, from_ms: u64, to_ms: u64, leader: Option<usize>) {
        for ms in (from_ms..to_ms).step_by(TICK_MS as usize) {
            let now = self.start + time::Duration::from_millis(ms);
            for member in 0..MEMBERS {
                self.tick(member, now, leader);
            }
        }
    }

    fn tick(&mut self, member: usize, now: time::Instant, leader: Option<usize>) {
        let schedule = &mut self.schedules[member];
        if !schedule.is_due(now, self.leader_asked_at) {
            return;
        }
        schedule.record_question(now);
        self.questions[member] += 1;
        let is_leader = leader == Some(member);
        schedule.record_answer(is_leader);
        if is_leader {
            self.leader_asked_at = Some(now);
        }
    }
}

#[test]
fn a_node_asks_the_leader_often_and_the_others_rarely() {
    // Guards against questions that grow with nodes times members: with 172 nodes and 9 members
    // they were 3,900 a second.
    let mut node = Node::new();
    node.play(0, 20_000, Some(4));
    assert!(node.questions[4] >= 49, "{:?}", node.questions);
    let others: usize = node.questions.iter().sum::<usize>() - node.questions[4];
    assert!(others <= (MEMBERS - 1) * 14, "{:?}", node.questions);
    assert!(
        node.questions.iter().all(|asked| *asked >= 12),
        "{:?}",
        node.questions
    );
}

#[test]
fn a_new_leader_is_asked_within_two_intervals() {
    // Guards against a node that stays unconfirmed after an election because it asks rarely.
    for moment in (0..1_600).step_by(TICK_MS as usize) {
        let mut node = Node::new();
        let lost_at = 8_000 + moment;
        node.play(0, lost_at, Some(0));
        node.play(lost_at, lost_at + 1_200, None);
        let elected_at = node.start + time::Duration::from_millis(lost_at + 1_200);
        node.play(lost_at + 1_200, lost_at + 1_200 + 2 * TICK_MS, Some(7));
        let asked_at = node.leader_asked_at.unwrap();
        assert!(asked_at >= elected_at, "lost at {lost_at} ms");
    }
}

#[test]
fn all_members_are_asked_while_none_confirms() {
    let mut node = Node::new();
    node.play(0, 4_000, None);
    assert!(
        node.questions.iter().all(|asked| *asked == 10),
        "{:?}",
        node.questions
    );
}
