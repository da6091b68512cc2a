//! Case: the last tenant is taken out of the configuration.

use std::{process::ExitCode, sync::Arc, thread, time::Duration};

use review_standin::{
    case::{self, Verdict},
    client,
    document::Document,
    fleet::{self, Fleet},
    record::Record,
    replica::{Replica, ReplicaSettings},
};

/// Key of the only tenant, and one that no configuration ever held.
const KEY: &str = "jnbanfqasnmgkcuyj8pj";
const UNKNOWN_KEY: &str = "nobody-ever-held-this";

fn main() -> ExitCode {
    let record = Record::create().expect("record file");
    match play(&record) {
        Ok((verdict, why)) => case::end(&record, verdict, &why),
        Err(e) => case::end(&record, Verdict::NotRun, &e.to_string()),
    }
}

fn play(record: &Record) -> std::io::Result<(Verdict, String)> {
    let mut fleet = Fleet::new(record, 3)?;
    fleet.start_all()?;
    let controls = fleet.controls();
    let replica = Replica::start(
        record,
        ReplicaSettings {
            id: String::from("i-ledger-1"),
            service: String::from("ledger"),
            address: (fleet.ip(41), 8_744).into(),
            controls: controls.clone(),
            work: Duration::from_millis(30),
        },
    )?;
    let document = |version| {
        Document::new(version)
            .service("ledger")
            .route("/release/", "non_idempotent", "ledger")
    };
    let put = |document: &Document, what: &str| {
        record.line(&format!(
            "operator sends {what}: {}",
            document.text().replace('\n', "")
        ));
        let by = fleet::call_until(
            &controls,
            "/v1/config/replace",
            &document.text(),
            Duration::from_secs(15),
        );
        record.say(&format!("operator gets 200 for {what}: {}", by.is_some()));
        by.is_some()
    };
    if !put(&document(1).tenant("parish", &[KEY]), "configuration 1") {
        return Ok((
            Verdict::NotRun,
            String::from("configuration 1 was not acknowledged"),
        ));
    }
    if !fleet.wait_until_ready(Duration::from_secs(20)) {
        return Ok((Verdict::NotRun, String::from("the gateway is not ready")));
    }
    let ask = |id: &str, key| {
        client::request(record, fleet.gateway(), "/release/1", id, key, &[]).status()
    };
    // The fleet works: the key is accepted, and others are refused.
    let before = [
        ask("before-key", Some(KEY)),
        ask("before-unknown", Some(UNKNOWN_KEY)),
        ask("before-none", None),
    ];
    if before != [200, 401, 401] {
        return Ok((
            Verdict::NotRun,
            format!("statuses before the change: {before:?}"),
        ));
    }
    // The disruption: the only tenant and its key are taken away. Without it, another tenant stays.
    let changed = match case::has_trouble() {
        true => document(2),
        false => document(2).tenant("another", &["bvk9m68k7b2ex5wa5xwy"]),
    };
    if !put(&changed, "configuration 2") {
        return Ok((
            Verdict::NotRun,
            String::from("configuration 2 was not acknowledged"),
        ));
    }
    thread::sleep(fleet::REVOKE + Duration::from_millis(500));
    record.say("revoke-ms and 0.5 s have passed since the acknowledgement");
    let mut statuses = Vec::new();
    for i in 0..10 {
        statuses.push(ask(&format!("after-key-{i}"), Some(KEY)));
        statuses.push(ask(&format!("after-unknown-{i}"), Some(UNKNOWN_KEY)));
        statuses.push(ask(&format!("after-none-{i}"), None));
    }
    let runs = Arc::clone(&replica);
    let runs = runs.runs.lock().expect("runs lock");
    let count = |start: &str| runs.iter().filter(|run| run.id.starts_with(start)).count();
    let (revoked, unknown, none) = (
        count("after-key"),
        count("after-unknown"),
        count("after-none"),
    );
    let why = format!(
        "of 10 requests each, {revoked} ran with the key that was taken away, {unknown} with a key that no \
         configuration ever held, {none} without a key; statuses {statuses:?}"
    );
    Ok(match revoked + unknown + none {
        0 => (Verdict::Held, why),
        _ => (Verdict::Broken, why),
    })
}
