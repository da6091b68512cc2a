//! Evaluation of the configuration experiment.

use std::{collections, time};

use error_stack::ResultExt as _;

use crate::{bench_error, config_fleet, config_operator, config_report, config_timeline};

type Result<T> = std::result::Result<T, error_stack::Report<bench_error::BenchError>>;

/// Changes for which the time until they are in force is evaluated, spread over the run.
const EVALUATED_CHANGES: usize = 2_000;

/// Time that is reported where a change never came into force.
const NEVER: time::Duration = time::Duration::from_secs(600);

/// Time after a fault in which changes show the failover.
const FAILOVER_WINDOW: time::Duration = time::Duration::from_secs(6);

/// Puts times of acceptance, conflicts and double wins into the report.
pub(crate) fn count_answers(
    report: &mut config_report::ConfigReport,
    sent: &[config_operator::Sent],
    fault_at: Option<time::Instant>,
) -> Result<()> {
    let mut latencies = histogram()?;
    let mut winners = collections::HashMap::new();
    let mut answers = collections::HashMap::new();
    for one in sent {
        let first = answers.entry(&one.id).or_insert(&one.reply);
        if **first != one.reply {
            report.double_wins += 1;
        }
        match &one.reply {
            Some(lift_state::ChangeReply::Accepted { .. }) => {
                record(&mut latencies, one.answered - one.sent);
                let winner = winners.entry(one.expected).or_insert(&one.id);
                if **winner != one.id {
                    report.double_wins += 1;
                }
            }
            Some(lift_state::ChangeReply::Conflict { .. }) => report.conflicts += 1,
            _ => report.lost += 1,
        }
    }
    report.changes = winners.len() as u64;
    report.accepted_p50_ms = percentile(&latencies, 50.0);
    report.accepted_p99_ms = percentile(&latencies, 99.0);
    if let (Some(first), Some(last)) = (sent.first(), sent.last()) {
        let took = (last.answered - first.sent).as_secs_f64();
        report.accepted_per_s = report.changes as f64 / took.max(f64::MIN_POSITIVE);
    }
    report.failover_ms = fault_at.map_or(0.0, |at| failover(sent, at));
    Ok(())
}

/// Puts the times until changes are in force into the report.
pub(crate) fn count_in_force(
    report: &mut config_report::ConfigReport,
    sent: &[config_operator::Sent],
    nodes: &[config_fleet::Node],
) -> Result<()> {
    let accepted: Vec<_> = sent
        .iter()
        .filter_map(|one| Some((one.revision()?, one.answered)))
        .collect();
    let step = accepted.len().div_ceil(EVALUATED_CHANGES).max(1);
    let mut times = histogram()?;
    let mut stopped = 0_u64;
    for node in nodes {
        report.reverted += node.timeline.reverts();
        for (revision, at) in accepted.iter().step_by(step) {
            match node.timeline.in_force(*revision, *at) {
                config_timeline::InForce::Applied(time) => record(&mut times, time),
                config_timeline::InForce::Stopped(time) => {
                    stopped += 1;
                    record(&mut times, time);
                }
                config_timeline::InForce::Never => {
                    report.lost += 1;
                    record(&mut times, NEVER);
                }
            }
        }
    }
    report.in_force_p99_ms = percentile(&times, 99.0);
    report.in_force_max_ms = if times.is_empty() {
        0.0
    } else {
        times.max() as f64 / 1_000.0
    };
    report.stopped_percent = 100.0 * stopped as f64 / (times.len() as f64).max(1.0);
    Ok(())
}

/// Puts accepted changes that the audit log does not have, and nodes with another policy
/// than control, into the report.
pub(crate) fn count_lost(
    report: &mut config_report::ConfigReport,
    sent: &[config_operator::Sent],
    nodes: &[config_fleet::Node],
    state: &lift_state::State,
) {
    let audit = state.audit(0, usize::MAX);
    let oldest = audit.first().map_or(0, |record| record.revision);
    let kept: collections::HashMap<_, _> = audit.iter().map(|r| (r.revision, &r.id)).collect();
    for one in sent {
        if let Some(revision) = one.revision().filter(|revision| *revision >= oldest)
            && kept.get(&revision) != Some(&&one.id)
        {
            report.lost += 1;
        }
    }
    let policy = state.policy();
    for node in nodes {
        let views = lift_rpc::ControlPort::watch(&node.client);
        if views.borrow().policy != policy {
            report.lost += 1;
        }
    }
}

/// Longest time for which a change waited after the fault.
fn failover(sent: &[config_operator::Sent], fault_at: time::Instant) -> f64 {
    let waited = sent
        .iter()
        .filter(|one| one.answered > fault_at && one.sent < fault_at + FAILOVER_WINDOW)
        .map(|one| one.answered - one.sent.max(fault_at));
    waited.max().unwrap_or_default().as_secs_f64() * 1_000.0
}

/// Histogram of microseconds with three digits, up to [`NEVER`].
fn histogram() -> Result<hdrhistogram::Histogram<u64>> {
    let highest = NEVER.as_micros() as u64;
    hdrhistogram::Histogram::new_with_bounds(1, highest, 3)
        .change_context(bench_error::BenchError::Start)
}

fn record(histogram: &mut hdrhistogram::Histogram<u64>, time: time::Duration) {
    histogram.saturating_record((time.as_micros() as u64).max(1));
}

fn percentile(histogram: &hdrhistogram::Histogram<u64>, percent: f64) -> f64 {
    if histogram.is_empty() {
        return 0.0;
    }
    histogram.value_at_percentile(percent) as f64 / 1_000.0
}
