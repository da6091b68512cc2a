//! The thread that writes the log.

use std::sync;

use sync::mpsc;

use crate::node;

/// Writes that share one sync at most.
const MAX_GROUP: usize = 1_024;

/// Work of the disk thread.
#[derive(Debug)]
pub(crate) enum Job {
    Write(lift_consensus::Write),
    Stop,
}

/// Writes until it is told to stop. All writes that arrived during a sync share the next one.
pub(crate) fn run(node: &node::Node, mut store: lift_disk::LogStore, jobs: &mpsc::Receiver<Job>) {
    while let Ok(Job::Write(first)) = jobs.recv() {
        let (group, stop) = collect(first, jobs);
        let last = group.last().map_or(0, |write| write.number);
        node.counters.increment("log.syncs");
        if let Err(e) = store.write(group) {
            slog::crit!(node.log, "the log can't be written; the member stops"; "error" => ?e);
            node.shut_down();
            return;
        }
        node.step(lift_consensus::Event::Synced(last));
        if stop {
            return;
        }
    }
}

/// Takes the writes that wait, and whether the thread is to stop after them.
fn collect(
    first: lift_consensus::Write,
    jobs: &mpsc::Receiver<Job>,
) -> (Vec<lift_consensus::Write>, bool) {
    let mut group = vec![first];
    while group.len() < MAX_GROUP {
        match jobs.try_recv() {
            Ok(Job::Write(write)) => group.push(write),
            Ok(Job::Stop) => return (group, true),
            Err(_) => break,
        }
    }
    (group, false)
}
