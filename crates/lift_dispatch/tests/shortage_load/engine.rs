//! An engine that admits urgent requests first.

use super::deployment;

/// Requests that run at once.
pub(crate) const SLOTS: u32 = 12;

/// Prompt tokens that are read in a millisecond.
pub(crate) const READ_TOKENS_PER_MS: f64 = 19.1;

/// Time of a token, in milliseconds.
const STEP_MS: f64 = 8.87;

/// Prompt tokens that are read between two passes.
const READ_CHUNK: u32 = 2_048;

/// Tokens that a pass writes for each request whose prompt is read, and of the first event.
const STRIDE: u32 = 5;

/// Requests that may wait for a slot.
const QUEUE: usize = 24;

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) request: usize,
    pub(crate) priority: u8,
    pub(crate) unread: u32,
    pub(crate) unwritten: u32,
    pub(crate) has_started: bool,
}

/// What a pass brought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    FirstEvent(usize),
    Finished(usize),
}

/// An engine with its queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    pub(crate) is_lost: bool,
    running: Vec<Run>,
    waiting: Vec<Run>,
    busy_until_ms: f64,
}

impl Engine {
    /// Requests per second that an engine completes if its queue is never empty.
    pub(crate) fn capacity_per_s(kinds: &[deployment::Kind]) -> f64 {
        const SATURATED_MS: u64 = 60_000;
        let total: f64 = kinds.iter().map(|kind| kind.per_s).sum();
        let mut due = vec![0.0; kinds.len()];
        let mut engine = Self::default();
        let mut progress = Vec::new();
        let mut completed = 0;
        for ms in 0..SATURATED_MS {
            while engine.waiting.is_empty() {
                for (kind, due) in kinds.iter().zip(&mut due) {
                    *due += kind.per_s / total;
                    if *due >= 1.0 {
                        *due -= 1.0;
                        engine.accept(Run {
                            request: 0,
                            priority: 5,
                            unread: kind.prompt_tokens as u32,
                            unwritten: kind.answer_tokens as u32,
                            has_started: false,
                        });
                    }
                }
            }
            engine.work(ms as f64, &mut progress);
            let finished = progress.drain(..).filter(|p| *p == Progress::Finished(0));
            completed += finished.count();
        }
        completed as f64 * 1_000.0 / SATURATED_MS as f64
    }

    /// Accepts a request. Returns `false` if the queue is full.
    pub(crate) fn accept(&mut self, run: Run) -> bool {
        if self.is_lost || self.waiting.len() >= QUEUE {
            return false;
        }
        let behind = self
            .waiting
            .iter()
            .take_while(|w| w.priority <= run.priority);
        let position = behind.count();
        self.waiting.insert(position, run);
        true
    }

    pub(crate) fn requests(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    pub(crate) fn queued_prompts(&self) -> u32 {
        let running = self.running.iter().filter(|run| run.unread > 0).count();
        (running + self.waiting.len()) as u32
    }

    /// Loses all requests. Returns them.
    pub(crate) fn lose(&mut self) -> Vec<usize> {
        self.is_lost = true;
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        lost.map(|run| run.request).collect()
    }

    /// Works until `now_ms` and reports what happened.
    pub(crate) fn work(&mut self, now_ms: f64, report: &mut Vec<Progress>) {
        while self.busy_until_ms <= now_ms {
            let free = (SLOTS as usize - self.running.len()).min(self.waiting.len());
            self.running.extend(self.waiting.drain(..free));
            if self.running.is_empty() {
                self.busy_until_ms = now_ms + 1.0;
                return;
            }
            self.busy_until_ms += self.pass(report);
        }
    }

    fn pass(&mut self, report: &mut Vec<Progress>) -> f64 {
        let mut budget = READ_CHUNK;
        let mut write_ms = 0.0;
        for run in &mut self.running {
            if run.unread > 0 {
                let read = run.unread.min(budget);
                run.unread -= read;
                budget -= read;
                continue;
            }
            write_ms = STEP_MS * f64::from(STRIDE);
            run.unwritten = run.unwritten.saturating_sub(STRIDE);
            if !std::mem::replace(&mut run.has_started, true) {
                report.push(Progress::FirstEvent(run.request));
            }
            if run.unwritten == 0 {
                report.push(Progress::Finished(run.request));
            }
        }
        self.running.retain(|run| run.unwritten > 0);
        write_ms + f64::from(READ_CHUNK - budget) / READ_TOKENS_PER_MS
    }
}
