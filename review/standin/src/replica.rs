//! Replicas of a service without models.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{fleet, http, record::Record};

/// A request that a replica began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub tenant: Option<String>,
    pub at: Instant,
}

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub controls: Vec<SocketAddr>,
    /// How long it works on a request.
    pub work: Duration,
}

/// A replica that announces itself and runs requests.
#[derive(Debug)]
pub struct Replica {
    pub settings: ReplicaSettings,
    pub record: Record,
    born: u128,
    sequence: AtomicU64,
    is_draining: AtomicBool,
    /// It says that it leaves in all its answers, and sends no more heartbeats.
    pub is_leaving: AtomicBool,
    has_ended: Arc<AtomicBool>,
    /// When it gave its first answer that says that it leaves.
    pub left_said: Mutex<Option<Instant>>,
    pub runs: Mutex<Vec<Run>>,
    /// Requests that were running when it ended.
    pub cut: Mutex<Vec<String>>,
}

impl Replica {
    /// Starts a replica. It announces itself at once.
    pub fn start(record: &Record, settings: ReplicaSettings) -> io::Result<Arc<Self>> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_err(io::Error::other)?;
        let listener = TcpListener::bind(settings.address)?;
        let replica = Arc::new(Self {
            settings,
            record: record.clone(),
            born: born.as_millis(),
            sequence: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            has_ended: Arc::new(AtomicBool::new(false)),
            left_said: Mutex::default(),
            runs: Mutex::default(),
            cut: Mutex::default(),
        });
        let serving = Arc::clone(&replica);
        let handler: http::Handler = Arc::new(move |request| serving.answer(&request));
        http::serve(listener, handler, Arc::clone(&replica.has_ended))?;
        let beating = Arc::clone(&replica);
        thread::spawn(move || beating.announce());
        Ok(replica)
    }

    /// Sends heartbeats until it leaves or has ended.
    fn announce(&self) {
        let mut turn = 0;
        while !self.has_ended.load(Ordering::Acquire) && !self.is_leaving.load(Ordering::Acquire) {
            // Without an acknowledgement the next node is called.
            for _ in 0..self.settings.controls.len() {
                let at = self.settings.controls[turn % self.settings.controls.len()];
                if self.beat(at) {
                    break;
                }
                turn += 1;
            }
            thread::sleep(fleet::HEARTBEAT);
        }
    }

    fn beat(&self, at: SocketAddr) -> bool {
        let target = format!("/v1/replicas/{}/heartbeat", self.settings.id);
        let state = if self.is_draining.load(Ordering::Acquire) {
            "draining"
        } else {
            "ready"
        };
        let body = format!(
            r#"{{"service-name":"{}","address":"{}","zone":"zone-a","version":"v1","slots":6,
            "state":"{state}","cold-left-ms":0,"seq":{},"born":{}}}"#,
            self.settings.service,
            self.settings.address,
            self.sequence.fetch_add(1, Ordering::AcqRel) + 1,
            self.born,
        );
        let called = fleet::call_once(at, "POST", &target, &body);
        called.is_ok_and(|(_, answer)| answer.status() / 100 == 2)
    }

    /// Leaves as the replicas that never report `draining`: says so in all its answers from now
    /// on, and deregisters. Returns who acknowledged that.
    pub fn deregister(&self, limit: Duration) -> Option<SocketAddr> {
        self.is_leaving.store(true, Ordering::Release);
        self.record
            .say(&format!("{} leaves: it sends deregister", self.settings.id));
        let target = format!("/v1/replicas/{}/deregister", self.settings.id);
        let body = format!(r#"{{"born":{}}}"#, self.born);
        fleet::call_until(&self.settings.controls, &target, &body, limit)
    }

    /// Ends. Requests that it works on get no answer.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Release);
        self.record.say(&format!("{} exits", self.settings.id));
    }

    fn answer(&self, request: &http::Message) -> Option<http::Message> {
        if self.has_ended.load(Ordering::Acquire) {
            return None;
        }
        let id = String::from(request.header("request-id").unwrap_or_default());
        let own = &self.settings.id;
        let not_run = |status: &str| {
            let answer = http::Message::answer(status, "");
            Some(
                answer
                    .with("Request-Id", &id)
                    .with("Replica-Id", own)
                    .with("Not-Executed", "1"),
            )
        };
        if request.path() == "/health" {
            return Some(http::Message::answer("200 OK", "").with("Replica-Id", own));
        }
        if id.is_empty() {
            return not_run("400 Bad Request");
        }
        if request
            .header("expect-replica")
            .is_some_and(|expected| expected != own)
        {
            return not_run("421 Misdirected Request");
        }
        let tenant = request.header("tenant").map(String::from);
        self.record.line(&format!(
            "{own} runs {id} tenant={}",
            tenant.as_deref().unwrap_or("none")
        ));
        let run = Run {
            id: id.clone(),
            tenant,
            at: Instant::now(),
        };
        self.runs.lock().expect("runs lock").push(run);
        thread::sleep(self.settings.work);
        if self.has_ended.load(Ordering::Acquire) {
            self.record
                .line(&format!("{own} has exited while it ran {id}"));
            self.cut.lock().expect("cut lock").push(id);
            return None;
        }
        let answer = http::Message::answer("200 OK", format!("answer to {id}"));
        let answer = answer.with("Request-Id", &id).with("Replica-Id", own);
        let answer = answer.with("Replica-Seal", format!("seal.{id}"));
        if !self.is_leaving.load(Ordering::Acquire) {
            return Some(answer);
        }
        let mut said = self.left_said.lock().expect("left lock");
        if said.is_none() {
            *said = Some(Instant::now());
            self.record.say(&format!(
                "{own} answers {id} with Server-Leaving: 1, its first"
            ));
        }
        Some(answer.with("Server-Leaving", "1"))
    }
}
