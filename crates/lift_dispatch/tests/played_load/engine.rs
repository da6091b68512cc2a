//! An engine that reads prompts between the tokens of running requests.

use std::collections;

/// Requests that run at once.
pub(crate) const SLOTS: u32 = 8;

/// Time of a token, in milliseconds.
const STEP_MS: f64 = 10.1;

/// Prompt tokens that are read in a millisecond.
pub(crate) const READ_TOKENS_PER_MS: f64 = 20.4;

/// Tokens of a prompt.
pub(crate) const PROMPT_TOKENS: u32 = 960;

/// Tokens of an answer.
pub(crate) const ANSWER_TOKENS: u32 = 90;

/// Prompt tokens that are read between two passes.
const READ_CHUNK: u32 = 2_048;

/// Tokens that a pass writes for each request whose prompt is read.
const STRIDE: u32 = 6;

/// Tokens of the first event.
const FIRST_EVENT_TOKENS: u32 = 7;

/// Requests that may wait for a slot.
const QUEUE: usize = 16;

/// Time for which a saturated engine is played to find its capacity, in milliseconds.
const SATURATED_MS: u64 = 20_000;

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    /// Number of the request.
    pub(crate) request: usize,
    unread: u32,
    written: u32,
}

/// What a pass of an engine brought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The first event of the request.
    FirstEvent(usize),
    /// The end of the answer.
    Finished(usize),
}

/// An engine with its queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    running: Vec<Run>,
    waiting: collections::VecDeque<Run>,
    busy_until_ms: f64,
}

impl Engine {
    /// Requests per second that an engine completes if its queue is never empty.
    pub(crate) fn capacity_per_s() -> f64 {
        let mut engine = Self::default();
        let mut completed = 0;
        let mut progress = Vec::new();
        for ms in 0..SATURATED_MS {
            while engine.waiting.is_empty() {
                engine.accept(0);
            }
            engine.work(ms as f64, &mut progress);
            let made = progress.drain(..);
            completed += made.filter(|made| *made == Progress::Finished(0)).count();
        }
        completed as f64 * 1_000.0 / SATURATED_MS as f64
    }

    /// Accepts a request. Returns `false` if the queue is full.
    pub(crate) fn accept(&mut self, request: usize) -> bool {
        if self.waiting.len() >= QUEUE {
            return false;
        }
        self.waiting.push_back(Run {
            request,
            unread: PROMPT_TOKENS,
            written: 0,
        });
        true
    }

    /// Requests that run or wait.
    pub(crate) fn requests(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Requests whose prompts are not read yet.
    pub(crate) fn queued_prompts(&self) -> u32 {
        let running = self.running.iter().filter(|run| run.unread > 0).count();
        (running + self.waiting.len()) as u32
    }

    /// Works until `now_ms` and reports what happened.
    pub(crate) fn work(&mut self, now_ms: f64, report: &mut Vec<Progress>) {
        while self.busy_until_ms <= now_ms {
            while self.running.len() < SLOTS as usize
                && let Some(run) = self.waiting.pop_front()
            {
                self.running.push(run);
            }
            if self.running.is_empty() {
                self.busy_until_ms = now_ms + 1.0;
                return;
            }
            let took_ms = self.pass(report);
            self.busy_until_ms += took_ms;
        }
    }

    /// One pass: reads a part of the prompts, and writes some tokens of each request that is read.
    fn pass(&mut self, report: &mut Vec<Progress>) -> f64 {
        let mut budget = READ_CHUNK;
        let mut has_writers = false;
        for run in &mut self.running {
            if run.unread > 0 {
                let read = run.unread.min(budget);
                run.unread -= read;
                budget -= read;
                continue;
            }
            has_writers = true;
            let before = run.written;
            run.written += STRIDE;
            if before < FIRST_EVENT_TOKENS && run.written >= FIRST_EVENT_TOKENS {
                report.push(Progress::FirstEvent(run.request));
            }
            if run.written >= ANSWER_TOKENS {
                report.push(Progress::Finished(run.request));
            }
        }
        self.running.retain(|run| run.written < ANSWER_TOKENS);
        let read_ms = f64::from(READ_CHUNK - budget) / READ_TOKENS_PER_MS;
        let write_ms = if has_writers {
            STEP_MS * f64::from(STRIDE)
        } else {
            0.0
        };
        read_ms + write_ms
    }
}
