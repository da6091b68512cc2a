//! Path of an idempotent request.

use std::sync;

use axum::response;

use crate::{answer_stream, begun, caller_reply, caller_request, exchange, permit, shared};

/// An idempotent request at this entry.
#[derive(Debug)]
pub(crate) struct IdempotentPath {
    shared: sync::Arc<shared::Shared>,
    req: sync::Arc<caller_request::CallerRequest>,
    choice: lift_route::HostCriteria,
    /// Whether each attempt so far has proved that it did not run.
    is_unrun: bool,
}

impl IdempotentPath {
    pub(crate) fn new(
        shared: sync::Arc<shared::Shared>,
        req: sync::Arc<caller_request::CallerRequest>,
    ) -> Self {
        let choice = req.choice(&shared);
        Self {
            shared,
            req,
            choice,
            is_unrun: true,
        }
    }

    /// Sends the request, again where that is wise, until an answer begins.
    pub(crate) async fn run(mut self, permit: permit::Permit) -> response::Response {
        self.with_budget(lift_route::RetryBudget::deposit);
        let mut attempts = 0;
        loop {
            let Some(host) = self.choose() else {
                return self.give_up(lift_types::RefusalReason::NoHost);
            };
            attempts += 1;
            let end = match self.attempt_or_hedge(host, attempts).await {
                Ok(begun) => return self.answer(begun, permit),
                Err(end) => end,
            };
            self.is_unrun &= end.proves_not_run();
            let time_left = self.req.time_left();
            let verdict = self.with_budget(|budget| {
                let rng = &mut rand::rng();
                lift_route::RetryPolicy.decide(end, attempts, time_left, budget, rng)
            });
            match verdict {
                lift_route::RetryDecision::GiveUp { reason } => return self.give_up(reason),
                lift_route::RetryDecision::Retry { reason, backoff } => {
                    self.shared
                        .counters
                        .increment_member("retry", reason.into());
                    tokio::time::sleep(backoff).await;
                }
            }
        }
    }

    /// Chooses a host that was not tried, or any where all were.
    fn choose(&mut self) -> Option<lift_route::Candidate> {
        let found = self.shared.choose(&self.req.service, &self.choice);
        let host = match found {
            Some(host) => host,
            None => {
                self.choice.tried.clear();
                self.shared.choose(&self.req.service, &self.choice)?
            }
        };
        self.choice.tried.push(host.location.host);
        Some(host)
    }

    async fn attempt_or_hedge(
        &mut self,
        host: lift_route::Candidate,
        attempts: u32,
    ) -> Result<begun::Begun, lift_route::AttemptFailure> {
        let first = attempt(&self.shared, &self.req, host);
        tokio::pin!(first);
        tokio::select! {
            begun = &mut first => return begun,
            () = tokio::time::sleep(self.shared.limits.hedge_after) => {}
        }
        let idempotency = self.req.idempotency;
        let may_hedge = self
            .with_budget(|budget| lift_route::RetryPolicy.try_hedge(idempotency, attempts, budget));
        let other = may_hedge
            .then(|| self.shared.choose(&self.req.service, &self.choice))
            .flatten();
        let Some(other) = other else {
            return first.await;
        };
        let reason = lift_types::RetryReason::Hedged;
        self.shared
            .counters
            .increment_member("retry", reason.into());
        self.is_unrun = false;
        self.choice.tried.push(other.location.host);
        let second = attempt(&self.shared, &self.req, other);
        tokio::pin!(second);
        tokio::select! {
            begun = &mut first => if begun.is_ok() { begun } else { second.await },
            begun = &mut second => if begun.is_ok() { begun } else { first.await },
        }
    }

    fn answer(self, mut begun: begun::Begun, permit: permit::Permit) -> response::Response {
        if let Some(prefix) = self.req.prefix {
            self.shared.set_prefix_host(prefix, begun.host);
        }
        let head = begun.head.clone();
        if begun.is_whole {
            let body = one_piece(&mut begun.early);
            return caller_reply::answer(&self.shared, self.req.id, &head, body);
        }
        let shared = sync::Arc::clone(&self.shared);
        let req = sync::Arc::clone(&self.req);
        let stream = answer_stream::AnswerStream::new(shared, req, begun, permit)
            .resume_on(head.version.clone());
        caller_reply::answer(&self.shared, self.req.id, &head, stream.into_body())
    }

    fn give_up(&self, reason: lift_types::RefusalReason) -> response::Response {
        if self.is_unrun {
            return caller_reply::not_run(&self.shared, self.req.id, reason);
        }
        caller_reply::in_doubt(&self.shared, self.req.id, reason)
    }

    fn with_budget<R>(&self, f: impl FnOnce(&mut lift_route::RetryBudget) -> R) -> R {
        self.shared
            .with_workspace(&self.req.workspace, &self.req.limits, |state| {
                f(&mut state.budget)
            })
    }
}

async fn attempt(
    shared: &shared::Shared,
    req: &caller_request::CallerRequest,
    host: lift_route::Candidate,
) -> Result<begun::Begun, lift_route::AttemptFailure> {
    let call = req.call(shared, None, req.version.clone(), 0);
    let begun = begin(shared, req, &host, call).await;
    if let Err(end) = &begun {
        shared.directory.observe_end(host.location.host, *end);
    }
    begun
}

/// Waits for the head and checks what has come by then, while the request can still be
/// sent to another host.
async fn begin(
    shared: &shared::Shared,
    req: &caller_request::CallerRequest,
    host: &lift_route::Candidate,
    call: lift_wire::Call,
) -> Result<begun::Begun, lift_route::AttemptFailure> {
    let mut exchange = exchange::Exchange::start(shared, host, call).await?;
    let head = exchange.head(req.deadline).await?;
    let (early, is_whole) = exchange.early()?;
    Ok(begun::Begun {
        exchange,
        head,
        early,
        is_whole,
        host: host.location.host,
    })
}

fn one_piece(parts: &mut Vec<bytes::Bytes>) -> axum::body::Body {
    if parts.len() == 1 {
        return axum::body::Body::from(parts.pop().unwrap_or_default());
    }
    axum::body::Body::from(parts.concat())
}
