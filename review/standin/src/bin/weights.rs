//! Case: a second version is named while the origin is silent on a piece of the first, and the
//! replica is silent now and then while the second one is read back.

use std::{
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use review_standin::{
    case::{self, Verdict},
    client,
    document::Document,
    fleet::{self, Fleet, Role},
    model_replica::ModelReplica,
    origin::{Origin, Silence},
    record::Record,
    weights,
};

const KEY: &str = "jnbanfqasnmgkcuyj8pj";

/// Piece of version 2 on which the origin is silent, and for how long: a second or so.
const SILENCE: Silence = Silence {
    version: 2,
    index: 2,
    shortest: Duration::from_millis(1_200),
    longest: Duration::from_millis(2_000),
};

fn main() -> ExitCode {
    let record = Record::create().expect("record file");
    match play(&record) {
        Ok((verdict, why)) => case::end(&record, verdict, &why),
        Err(e) => case::end(&record, Verdict::NotRun, &e.to_string()),
    }
}

fn play(record: &Record) -> std::io::Result<(Verdict, String)> {
    let has_trouble = case::has_trouble();
    let mut fleet = Fleet::new(record, 3)?;
    let controls = fleet.controls();
    let (origin, replica) = ((fleet.ip(51), 8_006).into(), (fleet.ip(31), 8_744).into());
    fleet.add("agent-1", Role::Agent(replica), 31);
    let replica = ModelReplica::start(
        record,
        "model",
        replica,
        controls.clone(),
        has_trouble.then_some(3),
        None,
    )?;
    let goes_on = replica.has_paused.clone();
    let silence_begins = Origin::start(record, origin, has_trouble.then_some(SILENCE), goes_on)?;
    fleet.start_all()?;
    let document = Document::new(1)
        .engines(
            "model",
            weights::MODEL,
            weights::PIECES,
            weights::PIECE_BYTES,
        )
        .origin("portal", origin, weights::ORIGIN_MBPS)
        .route("/plan/", "streaming", "model")
        .tenant("parish", &[KEY]);
    let order = |target: &str, body: &str| {
        let by = fleet::call_until(&controls, target, body, Duration::from_secs(15));
        record.say(&format!(
            "operator gets 200 for {target} {}: {}",
            if body.len() < 99 { body } else { "" },
            by.is_some()
        ));
        by.is_some()
    };
    let name = |version| {
        order(
            "/v1/version-put",
            &format!(r#"{{"model":"{}","version":{version}}}"#, weights::MODEL),
        )
    };
    if !order("/v1/config/replace", &document.text())
        || !fleet.wait_until_ready(Duration::from_secs(20))
    {
        return Ok((Verdict::NotRun, String::from("the fleet did not start")));
    }
    thread::sleep(Duration::from_secs(2));
    let ask = |id: &str| {
        let more = [
            ("Model", weights::MODEL),
            ("Token-Count", "100,24"),
            ("Prompt-Prefix", "5c1e07a2:40,e4402b7d:60"),
        ];
        client::request(record, fleet.gateway(), "/plan/1", id, Some(KEY), &more).status()
    };
    if ask("before") != 200 {
        return Ok((Verdict::NotRun, String::from("no answer on version 1")));
    }
    if !name(2) {
        return Ok((
            Verdict::NotRun,
            String::from("version 2 was not acknowledged"),
        ));
    }
    // Version 3 is named before version 2 is in place.
    let _ = silence_begins.recv_timeout(Duration::from_millis(1_500));
    if !name(3) {
        return Ok((
            Verdict::NotRun,
            String::from("version 3 was not acknowledged"),
        ));
    }
    let end = Instant::now() + Duration::from_secs(15);
    while replica.version() < 3 && Instant::now() < end {
        thread::sleep(Duration::from_millis(50));
    }
    if replica.version() < 3 {
        return Ok((Verdict::NotRun, String::from("version 3 was never loaded")));
    }
    thread::sleep(Duration::from_millis(500));
    let statuses: Vec<u16> = (0..10).map(|i| ask(&format!("after-{i}"))).collect();
    let mixed = replica.mixed.lock().expect("mixed lock").len();
    let why = format!(
        "{mixed} of 10 streams were written on a version with pieces of another one; statuses {statuses:?}"
    );
    Ok(match (mixed, statuses.contains(&200)) {
        (0, true) => (Verdict::Held, why),
        (0, false) => (Verdict::NotRun, why),
        _ => (Verdict::Broken, why),
    })
}
