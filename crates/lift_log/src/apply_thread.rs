//! The thread that drives the state machine.

use std::sync;

use sync::mpsc;

use crate::{node, state_machine};

/// Work of the applying thread.
#[derive(Debug)]
pub(crate) enum Job {
    Apply(Vec<lift_consensus::Entry>),
    EndReplay,
    Restore(lift_consensus::Snapshot),
    TakeSnapshot,
    Stop,
}

/// Applies until it is told to stop.
pub(crate) fn run(
    node: &node::Node,
    machine: &dyn state_machine::StateMachine,
    jobs: &mpsc::Receiver<Job>,
) {
    let mut applied = 0;
    machine.reset();
    while let Ok(job) = jobs.recv() {
        match job {
            Job::Apply(entries) => {
                applied = entries.last().map_or(applied, |entry| entry.index);
                for entry in entries {
                    apply(node, machine, entry);
                }
                node.step(lift_consensus::Event::Applied(applied));
            }
            Job::EndReplay => machine.end_replay(),
            Job::Restore(snapshot) => {
                if !machine.restore(&snapshot.state) {
                    slog::crit!(node.log, "the snapshot can't be read; the member stops";
                        "index" => snapshot.index);
                    node.shut_down();
                    return;
                }
                applied = snapshot.index;
                node.step(lift_consensus::Event::Applied(applied));
            }
            Job::TakeSnapshot => {
                let state = machine.snapshot();
                let index = applied;
                node.step(lift_consensus::Event::SnapshotTaken { index, state });
            }
            Job::Stop => return,
        }
    }
}

fn apply(
    node: &node::Node,
    machine: &dyn state_machine::StateMachine,
    entry: lift_consensus::Entry,
) {
    let answer = match entry.payload {
        lift_consensus::Payload::Command(command) => machine.apply(entry.index, &command),
        _ => bytes::Bytes::new(),
    };
    node.waiters.answer(entry.index, entry.term, answer);
}
