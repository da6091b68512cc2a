//! Compares the configuration with a naive reference implementation under concurrent changes,
//! duplicates, invalid values and restarts. Guards against lost or reverted changes, two changes
//! that are both accepted for one revision, and a different reply to a duplicate of a change.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::HashMap;
use std::time::{Duration, SystemTime};

use lift_state::{ChangeEdit, ChangeReply, Command, CommandReply, ConfigChange, State};
use lift_types::{ChunkHash, ExceptionValue, Location, Manifest, Scope};
use proptest::prelude::*;

/// Versions that the changes refer to. The last one is never published.
const VERSIONS: [&str; 3] = ["v1", "v2", "v9"];

/// Naive reference implementation, which keeps every reply and every accepted change, and
/// resolves a version by replaying all accepted changes.
#[derive(Default)]
struct Reference {
    accepted: Vec<ConfigChange>,
    replies: HashMap<String, (ConfigChange, ChangeReply)>,
}

impl Reference {
    /// Returns the revision of the change, or `None` if it is rejected.
    fn apply_change(&mut self, change: &ConfigChange) -> Option<u64> {
        let is_next = change.expected == self.accepted.len() as u64;
        if !is_next || !self.is_valid(change) {
            return None;
        }
        self.accepted.push(change.clone());
        Some(self.accepted.len() as u64)
    }

    fn is_valid(&self, change: &ConfigChange) -> bool {
        let mut ids = self.exception_ids();
        if change.edits.is_empty() || change.reason.is_empty() {
            return false;
        }
        for edit in &change.edits {
            match edit {
                ChangeEdit::SetDefaultVersion(v) if v == "v9" => return false,
                ChangeEdit::AddException {
                    id, reason, value, ..
                } => {
                    if reason.is_empty() || *value == ExceptionValue::Version("v9".into()) {
                        return false;
                    }
                    ids.push(id.clone());
                }
                ChangeEdit::RemoveException { id } if !ids.contains(id) => return false,
                ChangeEdit::RemoveException { id } => ids.retain(|known| known != id),
                _ => {}
            }
        }
        true
    }

    fn exception_ids(&self) -> Vec<String> {
        self.exceptions().into_iter().map(|(id, ..)| id).collect()
    }

    fn exceptions(&self) -> Vec<(String, Scope, String)> {
        let mut found: Vec<(String, Scope, String)> = Vec::new();
        for edit in self.accepted.iter().flat_map(|c| &c.edits) {
            match edit {
                ChangeEdit::AddException {
                    id,
                    scope,
                    value: ExceptionValue::Version(v),
                    ..
                } => {
                    found.retain(|(known, ..)| known != id);
                    found.push((id.clone(), scope.clone(), v.clone()));
                }
                ChangeEdit::RemoveException { id } => found.retain(|(known, ..)| known != id),
                _ => {}
            }
        }
        found
    }

    fn version_at(&self, location: &Location) -> Option<String> {
        let host = Scope::Host(location.host);
        let region = Scope::Region(location.region.clone());
        let exceptions = self.exceptions();
        let latest = |scope: &Scope| exceptions.iter().rev().find(|(_, s, _)| s == scope);
        if let Some((_, _, version)) = latest(&host).or(latest(&region)) {
            return Some(version.clone());
        }
        let edits = self
            .accepted
            .iter()
            .rev()
            .flat_map(|c| c.edits.iter().rev());
        edits
            .filter_map(|edit| match edit {
                ChangeEdit::SetDefaultVersion(v) => Some(v.clone()),
                _ => None,
            })
            .next()
    }
}

fn edit() -> impl Strategy<Value = ChangeEdit> {
    let version = prop::sample::select(&VERSIONS[..]).prop_map(String::from);
    let id = prop::sample::select(&["a", "b", "c"][..]).prop_map(String::from);
    let scope = prop_oneof![
        Just(Scope::Region("r1".into())),
        (1..3_u32).prop_map(Scope::Host)
    ];
    let reason = prop::sample::select(&["freeze", "freeze", "freeze", ""][..]);
    prop_oneof![
        version.clone().prop_map(ChangeEdit::SetDefaultVersion),
        (id.clone(), scope, version, reason).prop_map(|(id, scope, version, reason)| {
            ChangeEdit::AddException {
                id,
                scope,
                value: ExceptionValue::Version(version),
                reason: reason.into(),
            }
        }),
        id.prop_map(|id| ChangeEdit::RemoveException { id }),
    ]
}

/// Action of an operator, or a restart of control.
#[derive(Clone, Debug)]
enum Step {
    /// Sends a change with these edits. Its expected revision is this many revisions behind the
    /// current one.
    Change(Vec<ChangeEdit>, u64),
    /// Sends an earlier change again.
    Resend(usize),
    /// Sends another change under an earlier id.
    ReuseId(usize),
    /// Restarts control from a snapshot.
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (prop::collection::vec(edit(), 0..4), 0..3_u64).prop_map(|(e, b)| Step::Change(e, b)),
        2 => any::<usize>().prop_map(Step::Resend),
        1 => any::<usize>().prop_map(Step::ReuseId),
        1 => Just(Step::Restart),
    ]
}

fn send(state: &State, change: &ConfigChange) -> ChangeReply {
    let command = Command::Change {
        change: change.clone(),
        hash: ChunkHash::of(format!("{change:?}").as_bytes()),
        at: SystemTime::UNIX_EPOCH + Duration::from_secs(change.expected),
    };
    match state.apply(&command) {
        CommandReply::Change(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn new_state() -> State {
    let state = State::new();
    for version in &VERSIONS[..2] {
        state.apply(&Command::Publish(Manifest::of((*version).into(), b"w", 1)));
    }
    state
}

proptest! {
    #[test]
    fn configuration_matches_the_reference(steps in prop::collection::vec(step(), 1..40)) {
        let mut state = new_state();
        let mut reference = Reference::default();
        let mut sent: Vec<ConfigChange> = Vec::new();
        for step in steps {
            match step {
                Step::Change(edits, behind) => {
                    let change = ConfigChange {
                        id: format!("change-{}", sent.len()),
                        expected: (reference.accepted.len() as u64).saturating_sub(behind),
                        author: format!("operator-{}", sent.len()),
                        reason: "release".into(),
                        edits,
                    };
                    let reply = send(&state, &change);
                    let winner = reference.accepted.get(change.expected as usize).cloned();
                    match reference.apply_change(&change) {
                        Some(revision) => {
                            prop_assert_eq!(&reply, &ChangeReply::Accepted { revision });
                        }
                        None if winner.is_some() => {
                            let ChangeReply::Conflict { current, by } = &reply else {
                                panic!("{reply:?}");
                            };
                            prop_assert_eq!(*current, reference.accepted.len() as u64);
                            prop_assert!(by.contains(&winner.unwrap().author), "{}", by);
                        }
                        None => {
                            let ChangeReply::Invalid { path, problem } = &reply else {
                                panic!("{reply:?}");
                            };
                            prop_assert!(path.starts_with("edits"), "{}", path);
                            prop_assert!(problem.contains("allowed: "), "{}", problem);
                        }
                    }
                    reference.replies.insert(change.id.clone(), (change.clone(), reply));
                    sent.push(change);
                }
                Step::Resend(at) if !sent.is_empty() => {
                    let (change, first) = &reference.replies[&sent[at % sent.len()].id];
                    prop_assert_eq!(&send(&state, change), first);
                }
                Step::ReuseId(at) if !sent.is_empty() => {
                    let mut change = sent[at % sent.len()].clone();
                    change.author.push('x');
                    let reply = send(&state, &change);
                    let is_rejected =
                        matches!(&reply, ChangeReply::Invalid { path, .. } if path == "id");
                    prop_assert!(is_rejected, "{:?}", reply);
                }
                Step::Restart => {
                    let mut parts = Vec::new();
                    state.export(&mut |part| parts.push(part.into_owned()));
                    state = State::new();
                    prop_assert!(state.import(parts));
                }
                _ => {}
            }
            let audit = state.audit(0, usize::MAX);
            prop_assert_eq!(audit.len(), reference.accepted.len());
            prop_assert!(audit.iter().zip(&reference.accepted).all(|(r, c)| r.id == c.id));
            for host in 1..4 {
                let location = Location {
                    region: "r1".into(),
                    failure_domain: "d1".into(),
                    host,
                };
                let found = state.policy().version_at(&location).cloned();
                prop_assert_eq!(found, reference.version_at(&location));
            }
        }
    }

    /// Guards against a node whose policy, derived from deltas, differs from the policy of
    /// control.
    #[test]
    fn deltas_give_the_same_policy(changes in prop::collection::vec(prop::collection::vec(edit(), 1..4), 1..12)) {
        let state = new_state();
        let mut policies = vec![state.policy()];
        for (i, edits) in changes.into_iter().enumerate() {
            send(&state, &ConfigChange {
                id: i.to_string(),
                expected: state.policy().revision,
                author: "ana".into(),
                reason: "release".into(),
                edits,
            });
            policies.push(state.policy());
        }
        for (i, old) in policies.iter().enumerate() {
            for new in &policies[i..] {
                let delta = lift_state::PolicyDelta::between(old, new).expect("a delta exists");
                let applied = delta.apply(old);
                prop_assert_eq!(applied.as_ref(), Some(new.as_ref()));
            }
        }
    }
}
