//! The demo.

use std::time;

use error_stack::ResultExt as _;

use crate::{
    demo_error, demo_fleet, demo_options, demo_progress, demo_report, demo_settings, demo_traffic,
    demo_weights,
};

/// Most replicas of one process.
const MAX_REPLICAS: u32 = 64;

/// Version that is served before the version of the file, so that requests are answered the
/// whole time.
const BASE: &str = "base";

/// Length of the base version.
const BASE_BYTES: usize = 256 * 1024;

/// Version made of the file.
const FIRST: &str = "v1";

/// Version that differs in one chunk.
const SECOND: &str = "v2";

/// Longest time of a spread, but for its bytes.
const SPREAD_LIMIT: time::Duration = time::Duration::from_secs(60);

/// Bytes per second, over all replicas, that a slow machine still reaches.
const SLOW_BYTES_PER_S: u64 = 10_000_000;

/// Time after which no second version is begun.
const SECOND_LIMIT: time::Duration = time::Duration::from_secs(60);

/// Time of requests after the last spread.
const TAIL: time::Duration = time::Duration::from_millis(500);

/// Interval at which the replicas are counted.
const POLL: time::Duration = time::Duration::from_millis(10);

type Result<T> = std::result::Result<T, error_stack::Report<demo_error::DemoError>>;

/// Runs control, an entry and agents in this process on loopback, spreads a version made of a
/// file while callers send requests, changes to a second version, and reports. It ends within
/// a bounded time.
///
/// # Errors
///
/// Returns an error where a part can't be started or control refuses a step. A spread that
/// does not end in time is no error: the report tells.
pub async fn demo(
    options: &demo_options::DemoOptions,
    progress: &demo_progress::DemoProgress,
    log: &slog::Logger,
) -> Result<demo_report::DemoReport> {
    if !(1..=MAX_REPLICAS).contains(&options.replicas) {
        return Err(demo_error::DemoError::Replicas {
            found: options.replicas,
            max: MAX_REPLICAS,
        }
        .into());
    }
    let weights = demo_weights::load(options.weights.as_deref())?;
    let dir = tempfile::tempdir().change_context(demo_error::DemoError::Start("a folder"))?;
    progress.step("starting control, an entry and the agents");
    let fleet = demo_fleet::DemoFleet::start(options.replicas, dir.path(), log).await?;
    let mut run = Run {
        fleet,
        replicas: options.replicas,
        progress,
        revision: 0,
    };
    let report = run.steps(weights).await;
    run.fleet.stop().await;
    progress.finish();
    report
}

struct Run<'a> {
    fleet: demo_fleet::DemoFleet,
    replicas: u32,
    progress: &'a demo_progress::DemoProgress,
    revision: lift_types::Revision,
}

impl Run<'_> {
    async fn steps(&mut self, weights: bytes::Bytes) -> Result<demo_report::DemoReport> {
        let started = time::Instant::now();
        self.change(lift_state::ChangeEdit::SetDefault(policy()))
            .await?;
        self.spread(BASE, demo_weights::generate(BASE_BYTES))
            .await?;
        self.wait_for_ledger().await;
        let traffic = demo_traffic::DemoTraffic::start(self.fleet.caller_addr()?);
        let mut report = demo_report::DemoReport {
            version: String::from(FIRST),
            replicas: self.replicas,
            weights_bytes: weights.len() as u64,
            ..demo_report::DemoReport::default()
        };
        let spread = self.spread(FIRST, weights.clone()).await;
        if let Ok(first) = &spread {
            report.replicas_serving = first.replicas_serving;
            report.time_to_all_ms = first.time_to_all_ms;
            report.origin_bytes = first.origin_bytes;
        }
        if report.time_to_all_ms.is_some() && started.elapsed() < SECOND_LIMIT {
            let second = self.spread(SECOND, demo_weights::changed(&weights)).await;
            report.second = second.ok();
        }
        tokio::time::sleep(TAIL).await;
        self.progress.step("waiting for the last answers");
        traffic.stop().await;
        spread?;
        self.count(&traffic, &mut report);
        Ok(report)
    }

    /// Publishes a version, makes it the default and waits for the replicas.
    async fn spread(
        &mut self,
        version: &str,
        weights: bytes::Bytes,
    ) -> Result<demo_report::SecondVersion> {
        let length = weights.len();
        self.progress
            .step(&format!("spreading {version}, {length} bytes"));
        let work = length as u64 * u64::from(self.replicas) / SLOW_BYTES_PER_S;
        let limit = SPREAD_LIMIT + time::Duration::from_secs(work);
        let size = demo_weights::chunk_size(length);
        let manifest = self.fleet.origin.publish(version, weights, size);
        let published = self.fleet.control()?.publish(manifest).await;
        published.change_context(demo_error::DemoError::Refused("the version"))?;
        let read_before = self.fleet.origin.bytes_read();
        let started = time::Instant::now();
        self.change(lift_state::ChangeEdit::SetDefaultVersion(String::from(
            version,
        )))
        .await?;
        let time_to_all_ms = loop {
            let serving = self.fleet.serving(version);
            self.progress.serving(serving, self.replicas);
            if serving >= self.replicas {
                break Some(started.elapsed().as_millis() as u64);
            }
            if started.elapsed() >= limit {
                break None;
            }
            tokio::time::sleep(POLL).await;
        };
        Ok(demo_report::SecondVersion {
            version: String::from(version),
            replicas_serving: self.fleet.serving(version),
            time_to_all_ms,
            origin_bytes: self.fleet.origin.bytes_read() - read_before,
        })
    }

    async fn change(&mut self, edit: lift_state::ChangeEdit) -> Result<()> {
        let change = lift_state::ConfigChange {
            id: format!("demo-{}", self.revision),
            expected: self.revision,
            author: String::from("demo"),
            reason: String::from("step of the demo"),
            edits: vec![edit],
        };
        let reply = self.fleet.control()?.change(change).await;
        let reply = reply.change_context(demo_error::DemoError::Refused("the change"))?;
        match reply {
            lift_state::ChangeReply::Accepted { revision } => {
                self.revision = revision;
                Ok(())
            }
            other => Err(
                error_stack::Report::new(demo_error::DemoError::Refused("the change"))
                    .attach(format!("{other:?}")),
            ),
        }
    }

    async fn wait_for_ledger(&self) {
        let until = time::Instant::now() + SPREAD_LIMIT;
        while !self.fleet.has_ledger() && time::Instant::now() < until {
            tokio::time::sleep(POLL).await;
        }
    }

    /// Compares what callers were told with what ran.
    fn count(&self, traffic: &demo_traffic::DemoTraffic, report: &mut demo_report::DemoReport) {
        let counters = traffic.counters();
        let runs = self.fleet.ledger.all_runs();
        let is_untrue = |key: &String| runs.get(key).copied().unwrap_or_default() == 0;
        let untrue = traffic.answered().iter().filter(|k| is_untrue(k)).count();
        report.answers_ok = counters.value("ok").saturating_sub(untrue as u64);
        report.answers_wrong = counters.value("wrong") + untrue as u64;
        report.answers_lost = counters.value("lost");
        report.non_idempotent_sent = counters.value("sent");
        report.non_idempotent_ran = runs.len() as u64;
        report.double_runs = runs.values().filter(|count| **count > 1).count() as u64;
    }
}

fn policy() -> lift_types::PolicyDefault {
    let service = |kind, method: &str, class| lift_types::ServicePolicy {
        kind,
        methods: [(String::from(method), class)].into_iter().collect(),
    };
    let model = service(
        lift_types::ServiceKind::Model,
        "complete",
        lift_types::Idempotency::Idempotent,
    );
    let ledger = service(
        lift_types::ServiceKind::Plain,
        "release",
        lift_types::Idempotency::NonIdempotent,
    );
    let services = [
        (String::from(demo_settings::MODEL), model),
        (String::from(demo_settings::LEDGER), ledger),
    ];
    lift_types::PolicyDefault {
        services: services.into_iter().collect(),
        ..lift_types::PolicyDefault::default()
    }
}
