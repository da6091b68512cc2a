//! Body of an answer on its way to the caller.

use std::{io, sync};

use futures_util::stream;

use crate::{answer_part, begun, caller_request, exchange, permit, shared};

/// Resumptions of one stream.
const MAX_RESUMES: u32 = 3;

/// Passes an answer on as it comes. Where it breaks it resumes on the same version at the
/// same position, or ends with an error, which cuts the caller's connection: the caller
/// never takes a shortened answer for a whole one.
#[derive(Debug)]
pub(crate) struct AnswerStream {
    shared: sync::Arc<shared::Shared>,
    req: sync::Arc<caller_request::CallerRequest>,
    exchange: exchange::Exchange,
    /// Version that a resumed stream must have; `None` where it can't resume.
    version: Option<lift_types::VersionId>,
    /// Parts that came before the body was built, the last one first.
    early: Vec<bytes::Bytes>,
    passed: u64,
    resumes: u32,
    tried: Vec<lift_types::HostId>,
    _permit: permit::Permit,
}

impl AnswerStream {
    /// Passes on an answer that has begun.
    pub(crate) fn new(
        shared: sync::Arc<shared::Shared>,
        req: sync::Arc<caller_request::CallerRequest>,
        begun: begun::Begun,
        permit: permit::Permit,
    ) -> Self {
        let mut early = begun.early;
        early.reverse();
        Self {
            shared,
            req,
            exchange: begun.exchange,
            version: None,
            early,
            passed: 0,
            resumes: 0,
            tried: vec![begun.host],
            _permit: permit,
        }
    }

    /// Allows the stream to resume on hosts that serve `version`.
    pub(crate) fn resume_on(mut self, version: Option<lift_types::VersionId>) -> Self {
        self.version = version;
        self
    }

    /// Body for the reply.
    pub(crate) fn into_body(self) -> axum::body::Body {
        let parts = stream::unfold(Some(self), async |stream| {
            let mut stream = stream?;
            match stream.next().await {
                Ok(answer_part::AnswerPart::Data(bytes)) => Some((Ok(bytes), Some(stream))),
                Ok(answer_part::AnswerPart::End) => None,
                Err(e) => Some((Err(e), None)),
            }
        });
        axum::body::Body::from_stream(parts)
    }

    async fn next(&mut self) -> io::Result<answer_part::AnswerPart> {
        if let Some(bytes) = self.early.pop() {
            self.passed += bytes.len() as u64;
            return Ok(answer_part::AnswerPart::Data(bytes));
        }
        match self.exchange.part(self.req.deadline).await {
            Ok(part) => Ok(self.count(part)),
            Err(end) => self.after(end).await,
        }
    }

    /// Resumes after the stream has broken, as often as it is allowed.
    async fn after(
        &mut self,
        mut end: lift_route::AttemptFailure,
    ) -> io::Result<answer_part::AnswerPart> {
        loop {
            if !self.may_resume() {
                self.shared.counters.increment("entry.stream_cut");
                return Err(io::Error::other(
                    "the answer broke and could not be resumed",
                ));
            }
            self.shared
                .counters
                .increment_member("retry", end.retry_reason().into());
            match self.resume().await {
                Ok(part) => return Ok(self.count(part)),
                Err(next) => end = next,
            }
        }
    }

    fn may_resume(&mut self) -> bool {
        self.resumes += 1;
        self.version.is_some() && self.resumes <= MAX_RESUMES && !self.req.time_left().is_zero()
    }

    async fn resume(&mut self) -> Result<answer_part::AnswerPart, lift_route::AttemptFailure> {
        let choice = lift_route::HostCriteria {
            version: self.version.clone(),
            tried: self.tried.clone(),
            ..self.req.choice(&self.shared)
        };
        let host = self
            .shared
            .choose(&self.req.service, &choice)
            .ok_or(lift_route::AttemptFailure::NotSent)?;
        self.tried.push(host.location.host);
        let call = self
            .req
            .call(&self.shared, None, self.version.clone(), self.passed);
        let mut exchange = exchange::Exchange::start(&self.shared, &host, call).await?;
        exchange.head(self.req.deadline).await?;
        self.exchange = exchange;
        self.shared.counters.increment("entry.stream_resumed");
        self.exchange.part(self.req.deadline).await
    }

    fn count(&mut self, part: answer_part::AnswerPart) -> answer_part::AnswerPart {
        if let answer_part::AnswerPart::Data(bytes) = &part {
            self.passed += bytes.len() as u64;
        }
        part
    }
}
