//! Case: a part of prompts crashes each replica that begins to write on it, and the replicas start
//! again under the identifiers that they had.

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
    model_replica::{Deadly, ModelReplica},
    origin::Origin,
    record::Record,
    weights,
};

const KEY: &str = "jnbanfqasnmgkcuyj8pj";

/// The part that all prompts share, and the one that crashes replicas.
const SHARED: &str = "5c1e07a2:40";
const DEADLY: &str = "91bd3f06:410";

/// Replicas, and the time after which one is back.
const REPLICAS: u8 = 3;
const DOWN: Duration = Duration::from_secs(2);

/// Time between two sound requests, and between two that have the deadly part.
const SOUND_GAP: Duration = Duration::from_millis(100);
const DEADLY_GAP: Duration = Duration::from_millis(500);

/// How long requests with the deadly part come, and sound requests before them.
const BEFORE: Duration = Duration::from_secs(6);
const TROUBLE: Duration = Duration::from_secs(30);

fn main() -> ExitCode {
    let record = Record::create().expect("record file");
    match play(&record) {
        Ok((verdict, why)) => case::end(&record, verdict, &why),
        Err(e) => case::end(&record, Verdict::NotRun, &e.to_string()),
    }
}

fn play(record: &Record) -> std::io::Result<(Verdict, String)> {
    // For comparison only: replicas that start again under new identifiers.
    let keeps_id = std::env::var_os("NEW_IDS").is_none();
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
            keeps_id,
        };
        let started = ModelReplica::start(
            record,
            "model",
            address,
            controls.clone(),
            None,
            Some(deadly),
        );
        replicas.push(started?);
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
        .tenant("parish", &[KEY]);
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
    let start = |name, gap, parts| {
        Clients::start(
            record,
            &fleet,
            Requests {
                name,
                gap,
                key: KEY,
                parts,
                tokens: "100,24",
            },
        )
    };
    let sound = start("sound", SOUND_GAP, &[SHARED]);
    thread::sleep(BEFORE);
    let began = Instant::now();
    record.say("requests with the deadly part begin to come");
    let deadly = case::has_trouble().then(|| start("deadly", DEADLY_GAP, &[SHARED, DEADLY]));
    thread::sleep(TROUBLE);
    let ended = Instant::now();
    if let Some(deadly) = deadly {
        deadly.stop();
    }
    let sound = sound.stop();
    Ok(judge(&replicas, &sound, began, ended))
}

/// Counts how often sound requests began before and while replicas crash, and the requests with the
/// deadly part that reached replicas later than `contact-ms` after the fifth crash.
fn judge(
    replicas: &[Arc<ModelReplica>],
    sound: &[Outcome],
    began: Instant,
    ended: Instant,
) -> (Verdict, String) {
    let mut crashes: Vec<Instant> = replicas
        .iter()
        .flat_map(|r| r.crashes.lock().expect("crash lock").clone())
        .collect();
    crashes.sort_unstable();
    let runs: Vec<_> = replicas
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
    let Some(fifth) = crashes.get(4).or(crashes.last()).copied() else {
        return (Verdict::Held, String::from("no replica crashed"));
    };
    let late = |run: &&review_standin::model_replica::Arrival| {
        run.is_deadly && run.at > fifth + fleet::CONTACT
    };
    let late = runs.iter().filter(late).count();
    let before = begin(began - BEFORE, began);
    let after = begin(fifth + fleet::CONTACT * 2, ended);
    let why = format!(
        "{} crashes; sound requests that began: {} of {} before the trouble, {} of {} from 2 x contact-ms after the \
         fifth crash on; requests with the deadly part that reached replicas later than contact-ms after it: {late}",
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
