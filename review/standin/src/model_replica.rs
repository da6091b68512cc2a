//! A model replica.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{fleet, http, record::Record, weights};

/// Time that loading takes.
const LOAD: Duration = Duration::from_millis(300);

/// Time that a read from the staging area takes.
const READ: Duration = Duration::from_millis(8);

/// How many times as long its work takes while it is slow, and for how long it is.
const SLOW_FACTOR: u32 = 5;
const SLOW: Duration = Duration::from_millis(6_500);

/// Events of a stream.
const EVENTS: u64 = 4;

/// Weights of the replica.
#[derive(Debug, Default)]
struct Engine {
    staged: BTreeMap<u32, Vec<u8>>,
    /// Version that is loaded, and which pieces of the loaded layers are not of that version.
    version: u64,
    wrong_pieces: Vec<u32>,
    loading: Option<u64>,
    orders: u64,
    /// Version at whose first read-back it turns slow.
    slow_at: Option<u64>,
    slow_until: Option<Instant>,
}

/// A replica with an engine, on which version 1 is loaded and staged.
#[derive(Debug)]
pub struct ModelReplica {
    id: String,
    service: String,
    address: SocketAddr,
    controls: Vec<SocketAddr>,
    record: Record,
    born: u128,
    sequence: AtomicU64,
    engine: Mutex<Engine>,
    /// Streams whose tokens were made with pieces of another version.
    pub mixed: Mutex<Vec<String>>,
}

impl ModelReplica {
    /// Starts a replica. `slow_at` is the version at whose read-back before the order it turns slow.
    pub fn start(
        record: &Record,
        service: &str,
        address: SocketAddr,
        controls: Vec<SocketAddr>,
        slow_at: Option<u64>,
    ) -> io::Result<Arc<Self>> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_err(io::Error::other)?;
        let replica = Arc::new(Self {
            id: String::from("i-model-1"),
            service: String::from(service),
            address,
            controls,
            record: record.clone(),
            born: born.as_millis(),
            sequence: AtomicU64::new(0),
            engine: Mutex::new(Engine {
                staged: (0..weights::PIECES)
                    .map(|i| (i, weights::piece(1, i)))
                    .collect(),
                version: 1,
                slow_at,
                ..Engine::default()
            }),
            mixed: Mutex::default(),
        });
        let serving = Arc::clone(&replica);
        let handler: http::Handler = Arc::new(move |request| Some(serving.answer(&request)));
        http::serve(
            TcpListener::bind(address)?,
            handler,
            Arc::new(AtomicBool::new(false)),
        )?;
        let beating = Arc::clone(&replica);
        thread::spawn(move || {
            loop {
                beating.beat();
                thread::sleep(fleet::HEARTBEAT);
            }
        });
        Ok(replica)
    }

    /// Version that is loaded.
    pub fn version(&self) -> u64 {
        self.engine.lock().expect("engine lock").version
    }

    fn models(&self) -> String {
        let version = self.version();
        format!(
            r#"[{{"name":"{}","version":{version},"adapters":[]}}]"#,
            weights::MODEL
        )
    }

    fn beat(&self) {
        let target = format!("/v1/replicas/{}/heartbeat", self.id);
        let body = format!(
            r#"{{"service-name":"{}","address":"{}","zone":"zone-a","version":"v1","slots":16,
            "state":"ready","cold-left-ms":0,"stage":"both","models":{},"seq":{},"born":{}}}"#,
            self.service,
            self.address,
            self.models(),
            self.sequence.fetch_add(1, Ordering::AcqRel) + 1,
            self.born,
        );
        for at in &self.controls {
            let called = fleet::call_once(*at, "POST", &target, &body);
            if called.is_ok_and(|(_, answer)| answer.status() / 100 == 2) {
                return;
            }
        }
    }

    fn answer(self: &Arc<Self>, request: &http::Message) -> http::Message {
        let index = request
            .query("sample-count")
            .and_then(|i| i.parse::<u32>().ok());
        match (request.method(), request.path()) {
            ("GET", "/v1/report") => self.report(),
            ("GET", path) if path.starts_with("/v1/stage-get/") => self.stage_get(index),
            ("PUT", path) if path.starts_with("/v1/stage-put/") => {
                self.stage_put(index, &request.body)
            }
            ("POST", "/v1/order") => self.order(&request.body),
            ("GET", "/health") => http::Message::answer("200 OK", "").with("Replica-Id", &self.id),
            _ => self.run(request),
        }
    }

    fn report(&self) -> http::Message {
        let models = self.models();
        let engine = self.engine.lock().expect("engine lock");
        let body = format!(
            r#"{{"stage":"both","models":{models},"busy":{},"seq":{},"queued":0,"active":0,"kv-used":0,
            "kv-total":90000,"handles":0,"pace":1.0}}"#,
            engine.loading.is_some(),
            engine.orders,
        );
        http::Message::answer("200 OK", body).with("Content-Type", "application/json")
    }

    fn stage_get(&self, index: Option<u32>) -> http::Message {
        let Some(index) = index else {
            let engine = self.engine.lock().expect("engine lock");
            let held: Vec<_> = engine.staged.keys().map(ToString::to_string).collect();
            let body = format!(r#"{{"held":[{}]}}"#, held.join(","));
            return http::Message::answer("200 OK", body).with("Content-Type", "application/json");
        };
        thread::sleep(self.read_time());
        let engine = self.engine.lock().expect("engine lock");
        match engine.staged.get(&index) {
            Some(piece) => http::Message::answer("200 OK", piece.clone()),
            None => http::Message::answer("404 Not Found", ""),
        }
    }

    /// Time that the next read takes. The replica turns slow when a version that is staged whole is
    /// read back.
    fn read_time(&self) -> Duration {
        let mut engine = self.engine.lock().expect("engine lock");
        let is_whole = |version| {
            (0..weights::PIECES).all(|i| engine.staged.get(&i) == Some(&weights::piece(version, i)))
        };
        if engine.slow_at.is_some_and(is_whole) {
            engine.slow_at = None;
            engine.slow_until = Some(Instant::now() + SLOW);
            self.record.say(&format!(
                "replica turns slow for {SLOW:?}: a read takes {:?}",
                READ * SLOW_FACTOR
            ));
        }
        match engine
            .slow_until
            .is_some_and(|until| Instant::now() < until)
        {
            true => READ * SLOW_FACTOR,
            false => READ,
        }
    }

    fn stage_put(&self, index: Option<u32>, body: &[u8]) -> http::Message {
        let Some(index) = index else {
            return http::Message::answer("400 Bad Request", "");
        };
        let text = String::from_utf8_lossy(&body[..body.len().min(40)]).into_owned();
        let what = text.split(';').next().unwrap_or_default();
        self.record
            .line(&format!("replica stages at {index}: {what}"));
        self.engine
            .lock()
            .expect("engine lock")
            .staged
            .insert(index, body.to_vec());
        http::Message::answer("200 OK", "")
    }

    fn order(self: &Arc<Self>, body: &[u8]) -> http::Message {
        let text = String::from_utf8_lossy(body).into_owned();
        let version = text.split("\"version\":").nth(1).unwrap_or_default();
        let digits: String = version
            .trim()
            .chars()
            .take_while(char::is_ascii_digit)
            .collect();
        let Ok(version) = digits.parse::<u64>() else {
            return http::Message::answer("400 Bad Request", "");
        };
        let mut engine = self.engine.lock().expect("engine lock");
        if engine.version == version {
            return http::Message::answer("200 OK", "");
        }
        if engine.loading.is_some() {
            return http::Message::answer("409 Conflict", "");
        }
        // Loads what is staged as it is now.
        let is_wrong = |i: &u32| engine.staged.get(i) != Some(&weights::piece(version, *i));
        let wrong: Vec<u32> = (0..weights::PIECES).filter(is_wrong).collect();
        self.record.say(&format!("replica accepts the order for version {version}; staged pieces of another version: {wrong:?}"));
        engine.loading = Some(version);
        engine.orders += 1;
        let replica = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(LOAD);
            let mut engine = replica.engine.lock().expect("engine lock");
            engine.version = version;
            engine.wrong_pieces = wrong;
            engine.loading = None;
            replica
                .record
                .line(&format!("replica holds version {version}"));
        });
        http::Message::answer("202 Accepted", "")
    }

    fn run(&self, request: &http::Message) -> http::Message {
        let id = String::from(request.header("request-id").unwrap_or_default());
        let engine = self.engine.lock().expect("engine lock");
        let (version, wrong, is_loading) = (
            engine.version,
            engine.wrong_pieces.clone(),
            engine.loading.is_some(),
        );
        drop(engine);
        let not_run = |status: &str| {
            let answer = http::Message::answer(status, "");
            answer
                .with("Request-Id", &id)
                .with("Replica-Id", &self.id)
                .with("Not-Executed", "1")
        };
        let is_other = request
            .header("expect-replica")
            .is_some_and(|expected| expected != self.id);
        let expected = request
            .header("expect-version")
            .and_then(|v| v.parse::<u64>().ok());
        if is_other || expected.is_some_and(|expected| expected != version) {
            return not_run("421 Misdirected Request");
        }
        if is_loading {
            return not_run("503 Service Unavailable");
        }
        if wrong.is_empty() {
            self.record
                .line(&format!("replica runs {id} on version {version}"));
        } else {
            self.record.say(&format!("replica runs {id} on version {version}, whose pieces {wrong:?} are of another version"));
            self.mixed.lock().expect("mixed lock").push(id.clone());
        }
        let event = |n| format!("id: {n}\ndata: {id} {n}\n\n");
        let body: String = (1..=EVENTS).map(event).collect();
        let answer = http::Message::answer("200 OK", body);
        let answer = answer
            .with("Content-Type", "text/event-stream")
            .with("Request-Id", &id);
        let answer = answer
            .with("Replica-Id", &self.id)
            .with("Replica-Seal", format!("seal.{id}"));
        answer.with("Weight-Versions", version)
    }
}
