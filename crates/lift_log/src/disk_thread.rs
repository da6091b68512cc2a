//! The thread that writes the log.

use std::sync;

use sync::mpsc;
use tokio::sync::oneshot;

use crate::node;

/// Writes that share one sync at most.
const MAX_GROUP: usize = 1_024;

/// Size of the writes from which no further one joins them, in bytes. It bounds the memory
/// and the time of one record.
const MAX_GROUP_BYTES: usize = 8 * 1024 * 1024;

/// Work of the disk thread.
#[derive(Debug)]
pub(crate) enum Job {
    Write(lift_consensus::Write),
    /// Save a changed identity, then report its number and `done`.
    SaveIdentity {
        identity: lift_disk::Identity,
        number: u64,
        done: oneshot::Sender<()>,
    },
    Stop,
}

/// Writes until it is told to stop. All writes that arrived during a sync share the next one.
pub(crate) fn run(
    node: &node::Node,
    mut store: lift_disk::LogStore,
    identities: &lift_disk::IdentityStore,
    jobs: &mpsc::Receiver<Job>,
) {
    let mut next = jobs.recv().ok();
    while let Some(job) = next.take() {
        let saved = match job {
            Job::Write(first) => {
                let (group, other) = collect(first, jobs);
                next = other;
                write(node, &mut store, group)
            }
            Job::SaveIdentity {
                identity,
                number,
                done,
            } => {
                let saved = match node.bindings.is_saved(number) {
                    true => Ok(()),
                    false => identities.save(&identity),
                };
                if saved.is_ok() {
                    node.bindings.saved(number);
                    if identity.confirmed {
                        allow_voting(node);
                    }
                    // The connection that asked may have ended.
                    let _ = done.send(());
                }
                saved
            }
            Job::Stop => return,
        };
        if let Err(e) = saved {
            slog::crit!(node.log, "the disk can't be written; the member stops"; "error" => ?e);
            node.shut_down();
            return;
        }
        next = next.or_else(|| jobs.recv().ok());
    }
}

/// Lets the member vote. This follows from the save alone: the connection that confirmed the member
/// may have ended while it waited for a slow disk.
fn allow_voting(node: &node::Node) {
    if node.bindings.allow_voting() {
        slog::info!(node.log, "the member may vote");
        node.step(lift_consensus::Event::VotingAllowed);
    }
}

fn write(
    node: &node::Node,
    store: &mut lift_disk::LogStore,
    group: Vec<lift_consensus::Write>,
) -> Result<(), error_stack::Report<lift_disk::DiskError>> {
    let last = group.last().map_or(0, |write| write.number);
    store.write(group)?;
    node.counters.increment("log.syncs");
    node.step(lift_consensus::Event::Synced(last));
    Ok(())
}

/// Takes the writes that wait, and the job that follows them.
fn collect(
    first: lift_consensus::Write,
    jobs: &mpsc::Receiver<Job>,
) -> (Vec<lift_consensus::Write>, Option<Job>) {
    let mut bytes = size(&first);
    let mut group = vec![first];
    while group.len() < MAX_GROUP && bytes < MAX_GROUP_BYTES {
        match jobs.try_recv() {
            Ok(Job::Write(write)) => {
                bytes += size(&write);
                group.push(write);
            }
            Ok(other) => return (group, Some(other)),
            Err(_) => break,
        }
    }
    (group, None)
}

fn size(write: &lift_consensus::Write) -> usize {
    write.entries.iter().map(lift_consensus::Entry::size).sum()
}
