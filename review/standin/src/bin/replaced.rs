//! Case: a control machine is replaced as planned, another one freezes for some seconds, and later
//! one loses its disk.

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
    record::Record,
    replica::{Replica, ReplicaSettings},
};

const KEY: &str = "jnbanfqasnmgkcuyj8pj";

/// How long a machine freezes.
const FREEZE: Duration = Duration::from_millis(6_500);

/// `catch-up-s` and `recovery-s` of the site.
const CATCH_UP: Duration = Duration::from_secs(4);
const RECOVERY: Duration = Duration::from_secs(12);

/// Time for which the machine that lost its disk is down.
const DOWN: Duration = Duration::from_secs(3);

/// Time for which requests are counted after the recovery.
const COUNTED: Duration = Duration::from_secs(12);

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
    let mut controls = fleet.controls();
    let address = (fleet.ip(41), 8_744).into();
    let document = |version| {
        Document::new(version)
            .service("ledger")
            .route("/stock/", "idempotent", "ledger")
            .tenant("parish", &[KEY])
    };
    let put = |controls: &[_], version, limit| {
        let by = fleet::call_until(
            controls,
            "/v1/config/replace",
            &document(version).text(),
            limit,
        );
        record.say(&format!(
            "operator gets 200 for configuration {version}: {}",
            by.is_some()
        ));
        by.is_some()
    };
    if !put(&controls, 1, Duration::from_secs(15)) {
        return Ok((Verdict::NotRun, String::from("the fleet did not start")));
    }
    fleet.add("control-4", Role::Control, 14);
    controls.push(fleet.controls()[3]);
    let _replica = Replica::start(
        record,
        ReplicaSettings {
            id: String::from("i-ledger-1"),
            service: String::from("ledger"),
            address,
            controls: controls.clone(),
            work: Duration::from_millis(30),
        },
    )?;
    if !fleet.wait_until_ready(Duration::from_secs(20)) {
        return Ok((Verdict::NotRun, String::from("the gateway is not ready")));
    }
    // Planned work: control-3 is replaced, the new machine first.
    fleet.start("control-4", false)?;
    thread::sleep(CATCH_UP + Duration::from_secs(1));
    if case::has_trouble() {
        record.say("control-2 freezes");
        fleet.signal("control-2", fleet::SIGSTOP);
        thread::sleep(FREEZE);
        fleet.signal("control-2", fleet::SIGCONT);
        record.say("control-2 wakes");
    } else {
        thread::sleep(FREEZE);
    }
    thread::sleep(CATCH_UP + fleet::CONTACT);
    record.say("control-3 is stopped for good, as planned");
    fleet.signal("control-3", fleet::SIGTERM);
    fleet.wait("control-3");
    thread::sleep(CATCH_UP * 2);
    let (served, asked) = ask(record, &fleet, "before", Duration::from_secs(3));
    record.say(&format!(
        "before the final fault {served} of {asked} requests are served"
    ));
    // The final fault: right after an acknowledgement one machine loses its disk.
    if !put(&controls, 2, Duration::from_secs(10)) {
        return Ok((
            Verdict::NotRun,
            String::from("configuration 2 was not acknowledged"),
        ));
    }
    fleet.signal("control-4", fleet::SIGKILL);
    fleet.wipe("control-4")?;
    record.say("control-4 is killed and loses its disk");
    thread::sleep(DOWN);
    fleet.start("control-4", false)?;
    record.say("control-4 is back with an empty disk");
    thread::sleep(RECOVERY);
    let (served_after, asked_after) = ask(record, &fleet, "after", COUNTED);
    let read = read_back(record, &controls);
    let is_put = put(&controls, 3, Duration::from_secs(10));
    let why = format!(
        "{served} of {asked} requests were served before; later than recovery-s after the machine was back, \
         {served_after} of {asked_after} were; configuration 2 could be read back: {read}; the operator's \
         next change was acknowledged: {is_put}"
    );
    Ok(
        match served_after * 4 < asked_after && served * 4 >= asked {
            true => (Verdict::Broken, why),
            false => (Verdict::Held, why),
        },
    )
}

/// Whether the acknowledged configuration comes back. The operator asks all members again and again.
fn read_back(record: &Record, controls: &[std::net::SocketAddr]) -> bool {
    let end = Instant::now() + fleet::CONTACT + Duration::from_secs(5);
    while Instant::now() < end {
        for at in controls {
            let called = fleet::call_once(*at, "GET", "/v1/config/get", "");
            let status = called.as_ref().map_or(0, |(_, answer)| answer.status());
            record.line(&format!(
                "operator reads the configuration at {at}: {status}"
            ));
            if let Ok((_, answer)) = called
                && answer.status() == 200
            {
                return String::from_utf8_lossy(&answer.body).contains("\"version\":2");
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    false
}

/// Sends requests for a while. Returns how many were served, and how many were sent.
fn ask(record: &Record, fleet: &Fleet, name: &str, lasts: Duration) -> (usize, usize) {
    let end = Instant::now() + lasts;
    let (mut served, mut asked) = (0, 0);
    while Instant::now() < end {
        let id = format!("{name}-{asked}");
        let outcome = client::request(record, fleet.gateway(), "/stock/1", &id, Some(KEY), &[]);
        served += usize::from(outcome.status() == 200);
        asked += 1;
        thread::sleep(Duration::from_millis(100));
    }
    (served, asked)
}
