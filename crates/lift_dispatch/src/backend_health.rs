//! Failures of one backend server.

use std::time;

/// Weight of the newest attempt in the share of failures. About the last ten attempts count.
const NEWEST: f64 = 0.1;

/// Time for which a backend server is avoided after its first failure to be reached.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(500);

/// Longest time for which it is avoided. Backend servers come back within seconds, and while
/// all are avoided requests go to them nevertheless.
const LONGEST_PAUSE: time::Duration = time::Duration::from_secs(4);

/// Weight of the newest answer in the mean time to the head of an answer.
const NEWEST_HEAD: f64 = 0.2;

/// Time in which the mean loses half of its weight. Without requests nothing else would show
/// that a slow backend server has recovered.
const HEAD_HALF_LIFE: time::Duration = time::Duration::from_secs(2);

/// What recent attempts tell about a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendHealth {
    failing: f64,
    unreached: u32,
    avoid_until: Option<time::Instant>,
    head: Option<(f64, time::Instant)>,
}

impl BackendHealth {
    /// Notes that it has answered a request as it should.
    pub fn succeed(&mut self) {
        self.failing *= 1.0 - NEWEST;
        self.unreached = 0;
        self.avoid_until = None;
    }

    /// Notes how long the head of an answer took, or at least took so far.
    pub fn head_after(&mut self, now: time::Instant, took: time::Duration) {
        let newest = took.as_secs_f64();
        let mean = self.head_s(now).unwrap_or(newest);
        self.head = Some((mean + (newest - mean) * NEWEST_HEAD, now));
    }

    /// Mean time to the head of an answer at `now`, in seconds. It falls while there are no
    /// answers.
    pub fn head_s(&self, now: time::Instant) -> Option<f64> {
        let (mean, at) = self.head?;
        let age = now.saturating_duration_since(at).as_secs_f64();
        Some(mean * 0.5_f64.powf(age / HEAD_HALF_LIFE.as_secs_f64()))
    }

    /// Notes that it has answered with a failure or has refused the request.
    pub fn fail(&mut self) {
        self.failing += (1.0 - self.failing) * NEWEST;
    }

    /// Notes that it could not be reached, or that the connection broke or went silent.
    pub fn miss(&mut self, now: time::Instant) {
        self.fail();
        let pause = FIRST_PAUSE * (1 << self.unreached.min(8));
        self.unreached += 1;
        self.avoid_until = Some(now + pause.min(LONGEST_PAUSE));
    }

    /// Share of recent attempts that failed, from 0 to 1.
    pub fn failing(&self) -> f64 {
        self.failing
    }

    /// Whether it is to be avoided at `now`.
    pub fn is_avoided(&self, now: time::Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }
}
