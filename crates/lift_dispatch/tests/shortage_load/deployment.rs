//! Kinds of requests and sizes of the two deployments.

use std::time;

use super::engine;

/// One kind of request on a route of its own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) per_s: f64,
    pub(crate) target_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) priority: u32,
    pub(crate) prompt_tokens: f64,
    pub(crate) answer_tokens: f64,
    /// Worth of a late answer, where one in time is worth 1.
    pub(crate) late_worth: f64,
}

/// A rise of the rate of one kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Burst {
    pub(crate) kind: usize,
    pub(crate) factor: f64,
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
}

/// Gateways, engines and load.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    pub(crate) gateways: u32,
    pub(crate) engines: usize,
    pub(crate) kinds: Vec<Kind>,
    /// Priorities of workspaces in turn. Empty if they have none.
    pub(crate) workspace_priorities: Vec<u32>,
    pub(crate) bursts: Vec<Burst>,
    /// From when on a fifth of the engines is lost.
    pub(crate) lost_from_ms: u64,
    /// Load without bursts, as a share of what all engines bear.
    pub(crate) load: f64,
}

const fn kind(
    per_s: f64,
    target_ms: u64,
    priority: u32,
    tokens: (f64, f64),
    late_worth: f64,
) -> Kind {
    Kind {
        per_s,
        target_ms,
        deadline_ms: 6_000,
        priority,
        prompt_tokens: tokens.0,
        answer_tokens: tokens.1,
        late_worth,
    }
}

impl Deployment {
    /// The streams of the first deployment: long summaries, diagnoses and quotes.
    pub(crate) fn first() -> Self {
        let kinds = vec![
            kind(183.0, 1_000, 2, (1_330.0, 110.0), 0.38),
            kind(233.0, 400, 0, (827.0, 110.0), 0.1),
            kind(130.0, 400, 1, (647.0, 70.0), 0.23),
        ];
        Self::new(12, 52, kinds)
    }

    /// The streams of the second deployment: long summaries, readings and extracts.
    pub(crate) fn second() -> Self {
        let kinds = vec![
            kind(159.0, 500, 1, (1_330.0, 110.0), 0.25),
            kind(118.0, 400, 1, (827.0, 110.0), 0.25),
            kind(113.0, 400, 1, (647.0, 70.0), 0.24),
        ];
        Self::new(13, 34, kinds)
    }

    fn new(gateways: u32, engines: usize, kinds: Vec<Kind>) -> Self {
        Self {
            gateways,
            engines,
            kinds,
            workspace_priorities: Vec::new(),
            bursts: Vec::new(),
            lost_from_ms: u64::MAX,
            load: 0.85,
        }
    }

    pub(crate) fn with_burst(mut self, kind: usize, factor: f64, from_ms: u64, to_ms: u64) -> Self {
        self.bursts.push(Burst {
            kind,
            factor,
            from_ms,
            to_ms,
        });
        self
    }

    pub(crate) fn with_lost_engines(mut self, from_ms: u64) -> Self {
        self.lost_from_ms = from_ms;
        self
    }

    pub(crate) fn with_load(mut self, load: f64) -> Self {
        self.load = load;
        self
    }

    pub(crate) fn with_workspace_priorities(mut self, priorities: &[u32]) -> Self {
        self.workspace_priorities = priorities.to_vec();
        self
    }

    /// Time in which an engine reads a typical prompt.
    pub(crate) fn prefill_time(&self) -> time::Duration {
        let total: f64 = self.kinds.iter().map(|kind| kind.per_s).sum();
        let tokens = |kind: &Kind| kind.prompt_tokens * kind.per_s / total;
        let tokens: f64 = self.kinds.iter().map(tokens).sum();
        time::Duration::from_secs_f64(tokens / engine::READ_TOKENS_PER_MS / 1_000.0)
    }

    /// Factor of all rates that gives the load.
    pub(crate) fn scale(&self) -> f64 {
        let total: f64 = self.kinds.iter().map(|kind| kind.per_s).sum();
        let capacity = engine::Engine::capacity_per_s(&self.kinds) * self.engines as f64;
        self.load * capacity / total
    }

    /// Requests of a kind in a millisecond.
    pub(crate) fn rate(&self, kind: usize, now_ms: u64, scale: f64) -> f64 {
        let bursts = self.bursts.iter().filter(|burst| burst.kind == kind);
        let bursts = bursts.filter(|burst| (burst.from_ms..burst.to_ms).contains(&now_ms));
        let factor: f64 = bursts.map(|burst| burst.factor).product();
        self.kinds[kind].per_s * scale * factor / 1_000.0
    }
}
