//! Arguments for limits of workspaces.

/// Limits to replace; the others stay.
#[derive(Debug, clap::Args)]
pub(crate) struct LimitArgs {
    /// Share of the capacity relative to other workspaces.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..))]
    weight: Option<u32>,

    /// Requests per second in the long run.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..))]
    rate_per_s: Option<u32>,

    /// Requests that may come at once above the rate.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..))]
    burst: Option<u32>,

    /// Requests that may wait for admission.
    #[arg(long)]
    max_queued: Option<u32>,
}

impl LimitArgs {
    /// Whether any limit is given.
    pub(crate) fn is_given(&self) -> bool {
        let given = [self.weight, self.rate_per_s, self.burst, self.max_queued];
        given.iter().any(Option::is_some)
    }

    /// Replaces the given limits.
    pub(crate) fn apply(
        &self,
        limits: &lift_types::WorkspaceLimits,
    ) -> lift_types::WorkspaceLimits {
        lift_types::WorkspaceLimits {
            weight: self.weight.unwrap_or(limits.weight),
            rate_per_s: self.rate_per_s.unwrap_or(limits.rate_per_s),
            burst: self.burst.unwrap_or(limits.burst),
            max_queued: self.max_queued.unwrap_or(limits.max_queued),
        }
    }
}
