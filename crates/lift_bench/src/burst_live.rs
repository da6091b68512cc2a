//! Live requests during a burst.

use std::{net, sync, time};

use rand::{RngExt as _, SeedableRng as _};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

use crate::burst_host;

/// Mean time between two requests to a host.
const INTERVAL: time::Duration = time::Duration::from_millis(400);

/// Time after which a request is given up; it is counted with this time.
const LIMIT: time::Duration = time::Duration::from_secs(3);

/// Phase in which a live request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The hosts are being started; requests are not counted.
    Start,
    Before,
    During,
}

/// Figures of live requests, shared by all callers.
#[derive(Debug)]
pub(crate) struct BurstLive {
    phase: parking_lot::Mutex<Phase>,
    counts: parking_lot::Mutex<Counts>,
}

#[derive(Debug)]
struct Counts {
    before: hdrhistogram::Histogram<u64>,
    during: hdrhistogram::Histogram<u64>,
    answers: u64,
    not_run: u64,
    wrong: u64,
    mixed: u64,
}

/// What came of the live requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LiveFigures {
    pub(crate) p99_before_ms: f64,
    pub(crate) p99_during_ms: f64,
    pub(crate) answers: u64,
    pub(crate) not_run: u64,
    pub(crate) wrong: u64,
    pub(crate) mixed: u64,
}

impl BurstLive {
    pub(crate) fn new() -> Option<Self> {
        let histogram = || hdrhistogram::Histogram::new_with_bounds(1, 60_000_000, 3).ok();
        let counts = Counts {
            before: histogram()?,
            during: histogram()?,
            answers: 0,
            not_run: 0,
            wrong: 0,
            mixed: 0,
        };
        Some(Self {
            phase: parking_lot::Mutex::new(Phase::Start),
            counts: parking_lot::Mutex::new(counts),
        })
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        *self.phase.lock() = phase;
    }

    pub(crate) fn figures(&self) -> LiveFigures {
        let counts = self.counts.lock();
        let p99 = |h: &hdrhistogram::Histogram<u64>| h.value_at_quantile(0.99) as f64 / 1_000.0;
        LiveFigures {
            p99_before_ms: p99(&counts.before),
            p99_during_ms: p99(&counts.during),
            answers: counts.answers,
            not_run: counts.not_run,
            wrong: counts.wrong,
            mixed: counts.mixed,
        }
    }

    /// Sends requests to one host, one at a time at random intervals.
    pub(crate) async fn call(self: sync::Arc<Self>, addr: net::SocketAddr, seed: u64) {
        let mut rng = rand::rngs::SmallRng::seed_from_u64(seed);
        let mut stream = None;
        loop {
            let pause = INTERVAL.mul_f64(-(1.0 - rng.random::<f64>()).ln());
            tokio::time::sleep(pause).await;
            let phase = *self.phase.lock();
            let number = rng.random::<u64>();
            let sent_at = time::Instant::now();
            let answer = exchange(&mut stream, addr, number, rng.random());
            let answer = tokio::time::timeout(LIMIT, answer).await;
            match answer {
                Ok(Ok(answer)) => self.record(phase, sent_at.elapsed(), number, &answer),
                // The host is lost or stalled. Its connection is replaced, and a request
                // that was given up counts with the time that it took.
                Ok(Err(_)) => stream = None,
                Err(_) => {
                    stream = None;
                    self.record_time(phase, LIMIT);
                }
            }
        }
    }

    fn record(&self, phase: Phase, elapsed: time::Duration, number: u64, answer: &[u8]) {
        match answer[0] {
            burst_host::NOT_RUN => {
                self.counts.lock().not_run += 1;
                return;
            }
            burst_host::MIXED => self.counts.lock().mixed += 1,
            burst_host::ANSWERED if answer[1..9] == number.to_le_bytes() => {}
            _ => self.counts.lock().wrong += 1,
        }
        self.record_time(phase, elapsed);
    }

    fn record_time(&self, phase: Phase, elapsed: time::Duration) {
        let mut counts = self.counts.lock();
        let micros = elapsed.as_micros() as u64;
        match phase {
            Phase::Start => {}
            Phase::Before => counts.before.saturating_record(micros),
            Phase::During => {
                counts.answers += 1;
                counts.during.saturating_record(micros);
            }
        }
    }
}

async fn exchange(
    stream: &mut Option<tokio::net::TcpStream>,
    addr: net::SocketAddr,
    number: u64,
    variation: u8,
) -> std::io::Result<[u8; burst_host::ANSWER_BYTES]> {
    let open = match stream.take() {
        Some(open) => open,
        None => {
            let open = tokio::net::TcpStream::connect(addr).await?;
            open.set_nodelay(true)?;
            open
        }
    };
    let open = stream.insert(open);
    let mut request = [0; burst_host::REQUEST_BYTES];
    request[..8].copy_from_slice(&number.to_le_bytes());
    request[8] = variation;
    open.write_all(&request).await?;
    let mut answer = [0; burst_host::ANSWER_BYTES];
    open.read_exact(&mut answer).await?;
    Ok(answer)
}
