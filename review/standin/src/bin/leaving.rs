//! Cases: a replica leaves while control can't take that in.
//!
//! `control-killed`: all processes of control are killed at once and are back within a second.
//! `server-cut`: the replica is cut off from control, not from the gateway.

use std::{
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standin::{
    case::{self, Verdict},
    client::{self, Outcome},
    document::Document,
    fleet::{self, Fleet},
    record::Record,
    replica::{Replica, ReplicaSettings},
};

const KEY: &str = "jnbanfqasnmgkcuyj8pj";

/// Time for which control is down.
const DOWN: Duration = Duration::from_millis(600);

/// How much longer than `drain-ms` a replica serves after the acknowledgement: some seconds.
const LONGER: Duration = Duration::from_secs(5);

/// Time after which a replica exits that gets no acknowledgement, and the length of its cut.
const UNHEARD: Duration = Duration::from_secs(5);

/// Time between two requests of the clients.
const GAP: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    None,
    ControlKilled,
    ServerCut,
}

fn main() -> ExitCode {
    let record = Record::create().expect("record file");
    let trouble = match (case::has_trouble(), std::env::args().nth(1).as_deref()) {
        (false, _) => Trouble::None,
        (true, Some("control-killed")) => Trouble::ControlKilled,
        (true, Some("server-cut")) => Trouble::ServerCut,
        _ => return case::end(&record, Verdict::NotRun, "which case?"),
    };
    match play(&record, trouble) {
        Ok((verdict, why)) => case::end(&record, verdict, &why),
        Err(e) => case::end(&record, Verdict::NotRun, &e.to_string()),
    }
}

fn play(record: &Record, trouble: Trouble) -> std::io::Result<(Verdict, String)> {
    let mut fleet = Fleet::new(record, 3)?;
    fleet.start_all()?;
    let controls = fleet.controls();
    let start = |i: u8| {
        Replica::start(
            record,
            ReplicaSettings {
                id: format!("i-ledger-{i}"),
                service: String::from("ledger"),
                address: (fleet.ip(40 + i), 8_744).into(),
                controls: controls.clone(),
                work: Duration::from_millis(400),
            },
        )
    };
    let (_staying, leaving) = (start(1)?, start(2)?);
    let document = Document::new(1)
        .service("ledger")
        .route("/release/", "non_idempotent", "ledger")
        .tenant("parish", &[KEY]);
    let is_put = fleet::call_until(
        &controls,
        "/v1/config/replace",
        &document.text(),
        Duration::from_secs(15),
    );
    record.say(&format!(
        "operator gets 200 for configuration 1: {}",
        is_put.is_some()
    ));
    if !fleet.wait_until_ready(Duration::from_secs(20)) {
        return Ok((Verdict::NotRun, String::from("the gateway is not ready")));
    }
    thread::sleep(Duration::from_secs(2));
    let clients = Clients::start(record, &fleet);
    thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    match trouble {
        Trouble::None => {}
        Trouble::ControlKilled => {
            for i in 1..=3 {
                fleet.signal(&format!("control-{i}"), fleet::SIGKILL);
            }
            record.say("all processes of control are killed");
        }
        Trouble::ServerCut => {
            leaving.is_cut.store(true, Ordering::Release);
            record.say("i-ledger-2 is cut off from control, not from the gateway");
        }
    }
    // Planned work: the replica leaves, without saying `draining` before.
    let leaver = Arc::clone(&leaving);
    let deregistering = thread::spawn(move || leaver.deregister(UNHEARD));
    if trouble == Trouble::ControlKilled {
        thread::sleep(DOWN.saturating_sub(began.elapsed()));
        for i in 1..=3 {
            fleet.start(&format!("control-{i}"), false)?;
        }
        record.say(&format!("control is back after {:?}", began.elapsed()));
    }
    let by = deregistering.join().ok().flatten();
    match by {
        Some(by) => {
            record.say(&format!(
                "{} answers 200 to deregister",
                fleet.control_name(by)
            ));
            thread::sleep(fleet::DRAIN + LONGER);
        }
        None => record.say("deregister gets no acknowledgement"),
    }
    leaving.end();
    leaving.is_cut.store(false, Ordering::Release);
    thread::sleep(Duration::from_secs(1));
    let outcomes = clients.stop();
    Ok(judge(record, &leaving, &outcomes))
}

/// Counts the requests that clients sent later than `drain-ms` after the gateway had passed on an
/// answer with `Server-Leaving`, and that reached that replica.
fn judge(record: &Record, leaving: &Replica, outcomes: &[Outcome]) -> (Verdict, String) {
    let says_leaving = |o: &&Outcome| {
        o.answer
            .as_ref()
            .is_ok_and(|a| a.header("server-leaving").is_some())
    };
    let passed_on = outcomes
        .iter()
        .filter(says_leaving)
        .map(|o| o.answered)
        .min();
    let runs = leaving.runs.lock().expect("runs lock");
    let has_run = |o: &Outcome| runs.iter().any(|run| run.id == o.id);
    let Some(passed_on) = passed_on else {
        let why = "the gateway passed on no answer with Server-Leaving";
        return (Verdict::Held, String::from(why));
    };
    let late: Vec<&Outcome> = outcomes
        .iter()
        .filter(|o| o.sent > passed_on + fleet::DRAIN && has_run(o))
        .collect();
    for o in &late {
        let after = (o.sent - passed_on).as_secs_f64();
        record.line(&format!(
            "{} was sent {after:.3} s after that answer, and ran there",
            o.id
        ));
    }
    let cut = leaving.cut.lock().expect("cut lock");
    let lost = outcomes.iter().filter(|o| cut.contains(&o.id));
    let statuses: Vec<u16> = lost.map(Outcome::status).collect();
    let longest = late
        .iter()
        .map(|o| o.sent - passed_on)
        .max()
        .unwrap_or_default();
    let why = format!(
        "{} requests reached the leaving replica that were sent later than drain-ms after the gateway had \
         passed on an answer with Server-Leaving, the last one {longest:?} after it; requests that were \
         running when it exited: {}, answered to their clients with {statuses:?}",
        late.len(),
        cut.len()
    );
    match late.is_empty() {
        true => (Verdict::Held, why),
        false => (Verdict::Broken, why),
    }
}

/// Clients that send requests until they are stopped.
struct Clients {
    is_stopped: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    sending: thread::JoinHandle<()>,
}

impl Clients {
    fn start(record: &Record, fleet: &Fleet) -> Self {
        let (is_stopped, outcomes) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Mutex::new(Vec::new())),
        );
        let (stop, kept, record, gateway) = (
            Arc::clone(&is_stopped),
            Arc::clone(&outcomes),
            record.clone(),
            fleet.gateway(),
        );
        let sending = thread::spawn(move || {
            let mut clients = Vec::new();
            for i in 0.. {
                if stop.load(Ordering::Acquire) {
                    break;
                }
                let (kept, record) = (Arc::clone(&kept), record.clone());
                clients.push(thread::spawn(move || {
                    let id = format!("q{i}");
                    let outcome =
                        client::request(&record, gateway, "/release/1", &id, Some(KEY), &[]);
                    kept.lock().expect("outcomes lock").push(outcome);
                }));
                thread::sleep(GAP);
            }
            for client in clients {
                let _ = client.join();
            }
        });
        Self {
            is_stopped,
            outcomes,
            sending,
        }
    }

    fn stop(self) -> Vec<Outcome> {
        self.is_stopped.store(true, Ordering::Release);
        let _ = self.sending.join();
        std::mem::take(&mut *self.outcomes.lock().expect("outcomes lock"))
    }
}
