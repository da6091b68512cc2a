//! Guards against a snapshot that loses part of the state, against a member that accepts a
//! snapshot that it can't decode, and against one that continues to serve although it could not
//! decode a command.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::sync::Arc;

use lift_control::{ControlMachine, ControlNode};
use lift_log::StateMachine as _;
use lift_rpc::{ControlError, ControlPort as _};
use lift_standin::MemoryLog;
use lift_state::{ChangeReply, ClaimReply, Outcome, RecordRequest, Registration};

fn node(machine: &Arc<ControlMachine>) -> Arc<ControlNode> {
    let log = MemoryLog::single(machine.clone());
    let builder = ControlNode::builder().log(log).machine(machine.clone());
    builder.start().unwrap()
}

fn parts(machine: &ControlMachine) -> Vec<lift_state::StatePart<'static>> {
    let mut parts = Vec::new();
    let export = &mut |part: lift_state::StatePart<'_>| parts.push(part.into_owned());
    machine.state().export(export);
    parts
}

async fn fill_state(node: &ControlNode) -> RecordRequest {
    node.publish(support::manifest("v1")).await.unwrap();
    let change = support::set_version("c1", 0, "v1");
    node.change(change).await.unwrap();
    let registration = Registration {
        location: support::location(7),
        start_id: 70,
    };
    let incarnation = node.register(registration).await.unwrap();
    let req = support::claim("k", 7, incarnation);
    let ClaimReply::New(holder) = node.claim(req.clone()).await.unwrap() else {
        panic!("the claim is new");
    };
    let outcome = Outcome {
        status: 201,
        headers: vec![(String::from("location"), String::from("/r/1"))],
        body: Some(bytes::Bytes::from_static(b"released")),
    };
    let record = RecordRequest {
        key: req.key,
        holder,
        outcome,
    };
    node.record(record.clone()).await.unwrap();
    record
}

#[tokio::test]
async fn a_member_restored_from_a_snapshot_answers_like_the_original() {
    let machine = Arc::new(ControlMachine::new());
    let record = fill_state(&node(&machine)).await;
    let restored = Arc::new(ControlMachine::new());
    assert!(restored.restore(&machine.snapshot()));
    assert_eq!(parts(&restored), parts(&machine));
    let node = node(&restored);
    let reply = node.change(support::set_version("c1", 0, "v1")).await;
    assert_eq!(reply.unwrap(), ChangeReply::Accepted { revision: 1 });
    let found = node.find_claim(record.key).await.unwrap();
    assert_eq!(found, Some(ClaimReply::Recorded(record.outcome)));
    let versions = node.versions().await.unwrap();
    assert_eq!(versions, ["v1"]);
    assert_eq!(node.watch().borrow().policy.revision, 1);
}

#[tokio::test]
async fn a_snapshot_that_cannot_be_decoded_changes_nothing() {
    let machine = Arc::new(ControlMachine::new());
    fill_state(&node(&machine)).await;
    let before = parts(&machine);
    let mut snapshot = machine.snapshot().to_vec();
    snapshot[0] += 1;
    assert!(!machine.restore(&snapshot));
    assert!(!machine.restore(&[]));
    let cut = machine.snapshot();
    assert!(!machine.restore(&cut[..cut.len() / 2]));
    assert_eq!(parts(&machine), before);
}

#[tokio::test]
async fn a_member_that_cannot_decode_a_command_rejects_confirmations() {
    let machine = Arc::new(ControlMachine::new());
    let node = node(&machine);
    assert!(node.confirm().await.is_ok());
    machine.apply(9, &[250, 0, 0, 0, 0]);
    let error = node.confirm().await.unwrap_err();
    let not_leader = ControlError::NotLeader { leader: None };
    assert_eq!(error.current_context(), &not_leader);
}

/// Keeps the commands that it passes on.
#[derive(Debug)]
struct Recorder {
    machine: Arc<ControlMachine>,
    commands: std::sync::Mutex<Vec<(lift_types::LogIndex, Vec<u8>)>>,
}

impl lift_log::StateMachine for Recorder {
    fn reset(&self) {
        self.machine.reset();
    }

    fn apply(&self, index: lift_types::LogIndex, command: &[u8]) -> bytes::Bytes {
        self.commands
            .lock()
            .unwrap()
            .push((index, command.to_vec()));
        self.machine.apply(index, command)
    }

    fn snapshot(&self) -> bytes::Bytes {
        self.machine.snapshot()
    }

    fn restore(&self, buf: &[u8]) -> bool {
        self.machine.restore(buf)
    }
}

#[tokio::test]
async fn commands_applied_again_after_a_reset_do_not_count_twice() {
    let machine = Arc::new(ControlMachine::new());
    let recorder = Arc::new(Recorder {
        machine: machine.clone(),
        commands: std::sync::Mutex::default(),
    });
    let builder = ControlNode::builder().log(MemoryLog::single(recorder.clone()));
    fill_state(&builder.machine(machine.clone()).start().unwrap()).await;
    let before = parts(&machine);
    let snapshot = machine.snapshot();
    machine.reset();
    assert_eq!(parts(&machine), parts(&ControlMachine::new()));
    for (index, command) in recorder.commands.lock().unwrap().iter() {
        machine.apply(*index, command);
    }
    assert_eq!(parts(&machine), before);
    assert_eq!(machine.snapshot(), snapshot);
}
