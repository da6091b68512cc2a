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

/// Pieces at whose read-back the replica falls silent, where it does, and for how long: less than a
/// second each time.
const PAUSES_AT: [u32; 4] = [10, 30, 50, 70];
const PAUSE: Duration = Duration::from_millis(900);

/// Events of a stream, and the time that it takes to write a token.
const EVENTS: u64 = 8;
const TOKEN: Duration = Duration::from_millis(8);

/// Weights of the replica.
#[derive(Debug, Default)]
struct Engine {
    staged: BTreeMap<u32, Vec<u8>>,
    /// Version that is loaded, and which pieces of the loaded layers are not of that version.
    version: u64,
    wrong_pieces: Vec<u32>,
    loading: Option<u64>,
    orders: u64,
    /// Version during whose read-back before the order it falls silent now and then.
    pauses_at: Option<u64>,
}

/// A part of prompts that crashes the replica when it begins to write an answer on it.
#[derive(Clone, Debug)]
pub struct Deadly {
    pub part: String,
    /// Time after which the replica is back.
    pub down: Duration,
    /// Whether it starts again under the identifier that it had.
    pub keeps_id: bool,
}

/// A request that began to run.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub is_deadly: bool,
    pub at: Instant,
}

/// A replica with an engine, on which version 1 is loaded and staged.
#[derive(Debug)]
pub struct ModelReplica {
    id: Mutex<String>,
    service: String,
    address: SocketAddr,
    controls: Vec<SocketAddr>,
    record: Record,
    born: Mutex<u128>,
    sequence: AtomicU64,
    engine: Mutex<Engine>,
    /// Whether it has fallen silent.
    pub has_paused: Arc<AtomicBool>,
    /// Nothing is answered until then.
    silent_until: Mutex<Option<Instant>>,
    /// Whether the present start has ended.
    has_ended: Mutex<Arc<AtomicBool>>,
    /// Part of prompts that crashes the replica, if any.
    deadly: Option<Deadly>,
    /// Requests that reached the replica, with the deadly part and without it, and began to run.
    pub runs: Mutex<Vec<Arrival>>,
    /// When it crashed.
    pub crashes: Mutex<Vec<Instant>>,
    /// Streams whose tokens were made with pieces of another version.
    pub mixed: Mutex<Vec<String>>,
}

impl ModelReplica {
    /// Starts a replica. `pauses_at` is the version during whose read-back before the order it
    /// falls silent now and then.
    pub fn start(
        record: &Record,
        service: &str,
        address: SocketAddr,
        controls: Vec<SocketAddr>,
        pauses_at: Option<u64>,
        deadly: Option<Deadly>,
    ) -> io::Result<Arc<Self>> {
        let replica = Arc::new(Self {
            id: Mutex::new(format!("i-model-{}", address.ip())),
            service: String::from(service),
            address,
            controls,
            record: record.clone(),
            born: Mutex::new(since_epoch()),
            sequence: AtomicU64::new(0),
            engine: Mutex::new(Engine {
                staged: (0..weights::PIECES)
                    .map(|i| (i, weights::piece(1, i)))
                    .collect(),
                version: 1,
                pauses_at,
                ..Engine::default()
            }),
            has_paused: Arc::default(),
            silent_until: Mutex::default(),
            has_ended: Mutex::default(),
            deadly,
            runs: Mutex::default(),
            crashes: Mutex::default(),
            mixed: Mutex::default(),
        });
        replica.listen()?;
        let beating = Arc::clone(&replica);
        thread::spawn(move || {
            loop {
                beating.beat();
                thread::sleep(fleet::HEARTBEAT);
            }
        });
        Ok(replica)
    }

    /// Serves until this start ends.
    fn listen(self: &Arc<Self>) -> io::Result<()> {
        let has_ended = Arc::new(AtomicBool::new(false));
        *self.has_ended.lock().expect("end lock") = Arc::clone(&has_ended);
        let (serving, ended) = (Arc::clone(self), Arc::clone(&has_ended));
        let handler: http::Handler = Arc::new(move |request| {
            let answer = serving.answer(&request, &ended);
            answer.filter(|_| !ended.load(Ordering::Acquire))
        });
        http::serve(TcpListener::bind(self.address)?, handler, has_ended)
    }

    /// Ends the process, and starts it again some seconds later with empty memory. What is staged
    /// survives.
    fn crash(self: &Arc<Self>, deadly: &Deadly) {
        let ended = Arc::clone(&self.has_ended.lock().expect("end lock"));
        if ended.swap(true, Ordering::AcqRel) {
            return;
        }
        self.crashes
            .lock()
            .expect("crash lock")
            .push(Instant::now());
        self.record.line(&format!("{} crashes", self.id()));
        {
            let mut engine = self.engine.lock().expect("engine lock");
            let staged = std::mem::take(&mut engine.staged);
            *engine = Engine {
                staged,
                ..Engine::default()
            };
        }
        let (replica, deadly) = (Arc::clone(self), deadly.clone());
        thread::spawn(move || {
            thread::sleep(deadly.down);
            let born = since_epoch();
            *replica.born.lock().expect("born lock") = born;
            replica.sequence.store(0, Ordering::Release);
            if !deadly.keeps_id {
                *replica.id.lock().expect("id lock") = format!("i-model-{born}");
            }
            let started = replica.listen();
            replica
                .record
                .line(&format!("{} is back: {started:?}", replica.id()));
            replica.beat();
        });
    }

    /// Its present identifier.
    pub fn id(&self) -> String {
        self.id.lock().expect("id lock").clone()
    }

    fn has_ended(&self) -> bool {
        self.has_ended
            .lock()
            .expect("end lock")
            .load(Ordering::Acquire)
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
        if self.has_ended() {
            return;
        }
        let target = format!("/v1/replicas/{}/heartbeat", self.id());
        let body = format!(
            r#"{{"service-name":"{}","address":"{}","zone":"zone-a","version":"v1","slots":16,
            "state":"ready","cold-left-ms":0,"stage":"both","models":{},"seq":{},"born":{}}}"#,
            self.service,
            self.address,
            self.models(),
            self.sequence.fetch_add(1, Ordering::AcqRel) + 1,
            self.born.lock().expect("born lock"),
        );
        for at in &self.controls {
            let called = fleet::call_once(*at, "POST", &target, &body);
            if called.is_ok_and(|(_, answer)| answer.status() / 100 == 2) {
                return;
            }
        }
    }

    fn answer(
        self: &Arc<Self>,
        request: &http::Message,
        ended: &AtomicBool,
    ) -> Option<http::Message> {
        if ended.load(Ordering::Acquire) {
            return None;
        }
        self.stand_still();
        let index = request
            .query("sample-count")
            .and_then(|i| i.parse::<u32>().ok());
        Some(match (request.method(), request.path()) {
            ("GET", "/v1/report") => self.report(),
            ("GET", path) if path.starts_with("/v1/stage-get/") => self.stage_get(index),
            ("PUT", path) if path.starts_with("/v1/stage-put/") => {
                self.stage_put(index, &request.body)
            }
            ("POST", "/v1/order") => self.order(&request.body),
            ("GET", "/health") => http::Message::answer("200 OK", "").with("Replica-Id", self.id()),
            _ => return self.run(request),
        })
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
        self.pause(index);
        self.stand_still();
        thread::sleep(READ);
        let engine = self.engine.lock().expect("engine lock");
        match engine.staged.get(&index) {
            Some(piece) => http::Message::answer("200 OK", piece.clone()),
            None => http::Message::answer("404 Not Found", ""),
        }
    }

    /// Falls silent at a read-back of a version that is staged whole, if it is to.
    fn pause(&self, index: u32) {
        let version = self.engine.lock().expect("engine lock").pauses_at;
        let Some(version) = version.filter(|_| PAUSES_AT.contains(&index)) else {
            return;
        };
        let mut is_whole = true;
        for i in index..weights::PIECES {
            let engine = self.engine.lock().expect("engine lock");
            is_whole &= engine.staged.get(&i) == Some(&weights::piece(version, i));
        }
        if is_whole {
            self.record.say(&format!("replica is silent for {PAUSE:?} at the read-back of piece {index} of version {version}"));
            self.has_paused.store(true, Ordering::Release);
            *self.silent_until.lock().expect("silence lock") = Some(Instant::now() + PAUSE);
        }
    }

    /// Waits while the replica is silent.
    fn stand_still(&self) {
        loop {
            let until = *self.silent_until.lock().expect("silence lock");
            match until.map(|until| until.saturating_duration_since(Instant::now())) {
                Some(left) if !left.is_zero() => thread::sleep(left),
                _ => return,
            }
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

    /// Time between two events, from the number of tokens that the request asks for.
    fn event_pause(&self, request: &http::Message) -> Duration {
        let count = request
            .header("token-count")
            .and_then(|c| c.split(',').nth(1));
        let tokens: u32 = count.and_then(|c| c.parse().ok()).unwrap_or_default();
        TOKEN * tokens / EVENTS as u32
    }

    fn run(self: &Arc<Self>, request: &http::Message) -> Option<http::Message> {
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
                .with("Replica-Id", self.id())
                .with("Not-Executed", "1")
        };
        let is_other = request
            .header("expect-replica")
            .is_some_and(|expected| expected != self.id());
        let expected = request
            .header("expect-version")
            .and_then(|v| v.parse::<u64>().ok());
        if is_other || expected.is_some_and(|expected| expected != version) {
            return Some(not_run("421 Misdirected Request"));
        }
        if is_loading || version == 0 {
            return Some(not_run("503 Service Unavailable"));
        }
        let prefix = request.header("prompt-prefix").unwrap_or_default();
        let has_part =
            |deadly: &&Deadly| prefix.split(',').any(|part| part.starts_with(&deadly.part));
        let deadly = self.deadly.as_ref().filter(has_part);
        let arrival = Arrival {
            id: id.clone(),
            is_deadly: deadly.is_some(),
            at: Instant::now(),
        };
        self.runs.lock().expect("runs lock").push(arrival);
        if let Some(deadly) = deadly {
            self.record.line(&format!(
                "{} begins to write on {id}, which has the deadly part",
                self.id()
            ));
            self.crash(deadly);
            return None;
        }
        if wrong.is_empty() {
            self.record
                .line(&format!("replica runs {id} on version {version}"));
        } else {
            self.record.say(&format!("replica runs {id} on version {version}, whose pieces {wrong:?} are of another version"));
            self.mixed.lock().expect("mixed lock").push(id.clone());
        }
        let event = |n| format!("id: {n}\ndata: {id} {n}\n\n");
        let mut answer = http::Message::answer("200 OK", "");
        answer.chunks = (1..=EVENTS).map(event).collect();
        answer.pause = self.event_pause(request);
        let answer = answer
            .with("Content-Type", "text/event-stream")
            .with("Request-Id", &id)
            .with("Replica-Id", self.id())
            .with("Replica-Seal", format!("seal.{id}"));
        Some(answer.with("Weight-Versions", version))
    }
}

fn since_epoch() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}
