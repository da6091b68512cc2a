//! Case: a part of prompts crashes replicas, and it stands before a new part that sound requests
//! share.

use std::{
    process::ExitCode,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use review_standin::{
    case::{self, Verdict},
    client::{Clients, Outcome, Requests},
    document::Document,
    fleet::{self, Fleet, Role},
    model_replica::{Arrival, Deadly, ModelReplica},
    origin::Origin,
    record::Record,
    weights,
};

/// Key of the caller whose prompts hold the deadly part, and one of another tenant.
const KEY: &str = "jnbanfqasnmgkcuyj8pj";
const OTHER_KEY: &str = "bvk9m68k7b2ex5wa5xwy";

/// Parts of prompts: the caller's first one, the one that it goes over to, the deadly one, and that
/// of the other tenant.
const FIRST: &str = "5c1e07a2:40";
const SECOND: &str = "0a7731c4:40";
const DEADLY: &str = "91bd3f06:410";
const OTHER: &str = "77c01e52:40";

/// Tokens of a long and of a short answer: 1.6 s and 0.2 s.
const LONG: &str = "100,200";
const SHORT: &str = "100,24";

/// Replicas, and the time after which one that crashed is back.
const REPLICAS: u8 = 12;
const DOWN: Duration = Duration::from_secs(3);

/// Time between two requests of the caller and of the other tenant, and between two that have the
/// deadly part.
const GAP: Duration = Duration::from_millis(150);
const DEADLY_GAP: Duration = Duration::from_millis(200);

/// How long requests come before the deadly part does, and with it.
const BEFORE: Duration = Duration::from_secs(6);
const TROUBLE: Duration = Duration::from_secs(30);

/// How much earlier the first request with the deadly part comes than the first sound one that shares
/// its new part.
const AHEAD: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    let record = Record::create().expect("record file");
    match play(&record) {
        Ok((verdict, why)) => case::end(&record, verdict, &why),
        Err(e) => case::end(&record, Verdict::NotRun, &e.to_string()),
    }
}

fn play(record: &Record) -> std::io::Result<(Verdict, String)> {
    let mut fleet = Fleet::new(record, 3)?;
    let controls = fleet.controls();
    let origin = (fleet.ip(51), 8_006).into();
    let _ = Origin::start(record, origin, None, Arc::default())?;
    let mut replicas = Vec::new();
    for i in 1..=REPLICAS {
        let address = (fleet.ip(30 + i), 8_744).into();
        fleet.add(&format!("agent-{i}"), Role::Agent(address), 30 + i);
        let deadly = Deadly {
            part: String::from(DEADLY),
            down: DOWN,
            keeps_id: false,
        };
        replicas.push(ModelReplica::start(
            record,
            "model",
            address,
            controls.clone(),
            None,
            Some(deadly),
        )?);
    }
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
        .tenant("parish", &[KEY])
        .tenant("another", &[OTHER_KEY]);
    let by = fleet::call_until(
        &controls,
        "/v1/config/replace",
        &document.text(),
        Duration::from_secs(15),
    );
    record.say(&format!(
        "operator gets 200 for configuration 1: {}",
        by.is_some()
    ));
    if !fleet.wait_until_ready(Duration::from_secs(20)) {
        return Ok((Verdict::NotRun, String::from("the gateway is not ready")));
    }
    thread::sleep(Duration::from_secs(3));
    let start = |name, gap, key, parts, tokens| {
        Clients::start(
            record,
            &fleet,
            Requests {
                name,
                gap,
                key,
                parts,
                tokens,
            },
        )
    };
    let other = start("other", GAP, OTHER_KEY, &[OTHER], SHORT);
    let first = start("first", GAP, KEY, &[FIRST], LONG);
    thread::sleep(BEFORE);
    let began = Instant::now();
    record.say("requests with the deadly part and a new one begin to come");
    let deadly =
        case::has_trouble().then(|| start("deadly", DEADLY_GAP, KEY, &[DEADLY, SECOND], LONG));
    thread::sleep(AHEAD);
    let mut sound = first.stop();
    record.say("the caller's sound requests go over to the new part");
    let second = start("second", GAP, KEY, &[SECOND], LONG);
    thread::sleep(TROUBLE);
    let ended = Instant::now();
    if let Some(deadly) = deadly {
        deadly.stop();
    }
    sound.extend(second.stop());
    other.stop();
    Ok(judge(&replicas, &sound, began, ended))
}

/// Counts how often the caller's sound requests began before and after the crashes.
fn judge(
    replicas: &[Arc<ModelReplica>],
    sound: &[Outcome],
    began: Instant,
    ended: Instant,
) -> (Verdict, String) {
    let crashes = replicas
        .iter()
        .flat_map(|r| r.crashes.lock().expect("crash lock").clone());
    let mut crashes: Vec<Instant> = crashes.collect();
    crashes.sort_unstable();
    let runs: Vec<Arrival> = replicas
        .iter()
        .flat_map(|r| r.runs.lock().expect("runs lock").clone())
        .collect();
    let begin = |from: Instant, to: Instant| {
        let sent: Vec<_> = sound
            .iter()
            .filter(|o| o.sent >= from && o.sent < to)
            .collect();
        let began = sent
            .iter()
            .filter(|o| runs.iter().any(|run| run.id == o.id))
            .count();
        (began, sent.len())
    };
    let fifth = crashes.get(4).or(crashes.last()).copied().unwrap_or(began);
    let before = begin(began - BEFORE, began);
    let after = begin(fifth + fleet::CONTACT * 2, ended);
    let why = format!(
        "{} crashes; sound requests of the caller that began: {} of {} before, {} of {} from 2 x contact-ms after the \
         fifth crash, or the last, on",
        crashes.len(),
        before.0,
        before.1,
        after.0,
        after.1
    );
    let is_lost = before.1 >= 20 && after.1 >= 20 && after.0 * before.1 * 2 < before.0 * after.1;
    match is_lost {
        true => (Verdict::Broken, why),
        false => (Verdict::Held, why),
    }
}
