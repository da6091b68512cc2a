//! The changes of the configuration experiment.

use std::{sync, time};

use futures_util::StreamExt as _;
use tokio::sync::watch;

use crate::{config_fault, config_operator, config_options};

/// Number of changes above which they are sent without waiting in between.
const PIPELINED_FROM: u64 = 5_000;

/// Makes all changes and returns them with their answers. `progress` counts them.
pub(crate) async fn make(
    options: &config_options::ConfigOptions,
    clients: [sync::Arc<lift_rpc::ControlClient>; 2],
    progress: &watch::Sender<u64>,
) -> Vec<config_operator::Sent> {
    let [first, second] = clients;
    let mut first = config_operator::ConfigOperator::new(first, "first", options.seed);
    if options.fault == config_fault::ConfigFault::Race {
        let second = config_operator::ConfigOperator::new(second, "second", !options.seed);
        return race(options, first, second, progress).await;
    }
    if options.changes > PIPELINED_FROM {
        return pipeline(options, first, progress).await;
    }
    let client = first.client();
    let mut sent = Vec::new();
    let mut current = 0;
    for _ in 0..options.changes {
        let one = config_operator::send(&client, first.make(current)).await;
        current = known_revision(&one, current);
        sent.push(one);
        progress.send_modify(|count| *count += 1);
        pause(options).await;
    }
    sent
}

/// Both operators send a change with the same expected revision at the same time, and the
/// first one sends its change twice.
async fn race(
    options: &config_options::ConfigOptions,
    mut first: config_operator::ConfigOperator,
    mut second: config_operator::ConfigOperator,
    progress: &watch::Sender<u64>,
) -> Vec<config_operator::Sent> {
    let (client, rival_client) = (first.client(), second.client());
    let mut sent = Vec::new();
    let mut current = 0;
    for _ in 0..options.changes {
        let (change, rival) = (first.make(current), second.make(current));
        let answers = tokio::join!(
            config_operator::send(&client, change.clone()),
            config_operator::send(&rival_client, rival),
            config_operator::send(&client, change),
        );
        for one in [answers.0, answers.1, answers.2] {
            current = known_revision(&one, current);
            sent.push(one);
        }
        progress.send_modify(|count| *count += 1);
        pause(options).await;
    }
    sent
}

/// Sends changes whose expected revisions form a chain without waiting for the answers.
async fn pipeline(
    options: &config_options::ConfigOptions,
    mut operator: config_operator::ConfigOperator,
    progress: &watch::Sender<u64>,
) -> Vec<config_operator::Sent> {
    let client = operator.client();
    let changes = (0..options.changes).map(|expected| operator.make(expected));
    let sending =
        futures_util::stream::iter(changes).map(|change| config_operator::send(&client, change));
    let mut answers = std::pin::pin!(sending.buffered(config_operator::WINDOW));
    let mut sent = Vec::new();
    while let Some(one) = answers.next().await {
        sent.push(one);
        progress.send_modify(|count| *count += 1);
    }
    sent
}

/// Revision that an operator knows after an answer.
fn known_revision(
    one: &config_operator::Sent,
    before: lift_types::Revision,
) -> lift_types::Revision {
    match one.reply {
        Some(lift_state::ChangeReply::Accepted { revision }) => before.max(revision),
        Some(lift_state::ChangeReply::Conflict { current, .. }) => before.max(current),
        _ => before,
    }
}

async fn pause(options: &config_options::ConfigOptions) {
    tokio::time::sleep(time::Duration::from_millis(options.pause_ms)).await;
}
