//! Body of a reply, streamed to the caller.

use std::{io, sync};

use futures_util::stream;

use crate::{answer_part, caller_request, exchange, permit, resume_check, shared, started_answer};

/// Maximum number of attempts to resume one stream.
const MAX_RESUMES: u32 = 3;

/// Forwards an answer to the caller as it arrives. If the answer breaks off, the stream resumes
/// at the same byte position on a host that serves the same version, or ends with an error that
/// closes the caller's connection, so that the caller never takes a truncated answer for a
/// complete one.
#[derive(Debug)]
pub(crate) struct AnswerStream {
    shared: sync::Arc<shared::Shared>,
    req: sync::Arc<caller_request::CallerRequest>,
    exchange: exchange::Exchange,
    status: u16,
    /// What the rest of the stream must be like; `None` if the stream can't resume.
    resume: Option<resume_check::ResumeCheck>,
    /// Parts that were received before the stream was created, in reverse order.
    received_parts: Vec<bytes::Bytes>,
    forwarded_bytes: u64,
    resumes: u32,
    tried: Vec<lift_types::HostId>,
    _permit: permit::Permit,
}

impl AnswerStream {
    /// Creates a stream that forwards an answer that has started. It does not resume.
    pub(crate) fn new(
        shared: sync::Arc<shared::Shared>,
        req: sync::Arc<caller_request::CallerRequest>,
        answer: started_answer::StartedAnswer,
        permit: permit::Permit,
    ) -> Self {
        let mut received_parts = answer.parts;
        received_parts.reverse();
        Self {
            shared,
            req,
            exchange: answer.exchange,
            status: answer.head.status,
            resume: None,
            received_parts,
            forwarded_bytes: 0,
            resumes: 0,
            tried: vec![answer.host],
            _permit: permit,
        }
    }

    /// Allows the stream to resume on hosts whose answers pass `check`, if one is given.
    pub(crate) fn with_resume(mut self, check: Option<resume_check::ResumeCheck>) -> Self {
        self.resume = check;
        self
    }

    /// Converts the stream to the body of the reply.
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
        if let Some(bytes) = self.received_parts.pop() {
            self.forwarded_bytes += bytes.len() as u64;
            return Ok(answer_part::AnswerPart::Data(bytes));
        }
        match self.recv_part().await {
            Ok(part) => Ok(self.count_forwarded(part)),
            Err(failure) => self.resume_after(failure).await,
        }
    }

    async fn recv_part(&mut self) -> Result<answer_part::AnswerPart, lift_route::AttemptFailure> {
        let part = self.exchange.recv_part(self.req.deadline).await?;
        if let Some(check) = &self.resume {
            check.check_part(self.forwarded_bytes, &part)?;
        }
        Ok(part)
    }

    /// Resumes the stream after `failure` and returns the next part. Fails if the stream has no
    /// version to resume on, its attempts are used up or the deadline has passed.
    async fn resume_after(
        &mut self,
        mut failure: lift_route::AttemptFailure,
    ) -> io::Result<answer_part::AnswerPart> {
        loop {
            self.record_failure(failure);
            if !self.may_resume() {
                self.shared.counters.increment("entry.stream_cut");
                return Err(io::Error::other(
                    "the answer broke off and could not be resumed",
                ));
            }
            self.shared
                .counters
                .increment_member("retry", failure.retry_reason().into());
            match self.resume().await {
                Ok(part) => return Ok(self.count_forwarded(part)),
                Err(next) => failure = next,
            }
        }
    }

    /// Counts an attempt to resume and returns whether it is allowed.
    fn may_resume(&mut self) -> bool {
        self.resumes += 1;
        self.resume.is_some()
            && self.resumes <= MAX_RESUMES
            && !self.req.time_left().is_zero()
            && self.shared.guard.may_repeat(&self.req)
    }

    /// Records a failure at the host that was tried last.
    fn record_failure(&self, failure: lift_route::AttemptFailure) {
        if let Some(host) = self.tried.last() {
            self.shared.guard.record_failure(&self.req, *host, failure);
        }
    }

    async fn resume(&mut self) -> Result<answer_part::AnswerPart, lift_route::AttemptFailure> {
        let Some(check) = &self.resume else {
            return Err(lift_route::AttemptFailure::NotSent);
        };
        let version = Some(check.version());
        let criteria = lift_route::HostCriteria {
            version: version.clone(),
            tried: self.tried.clone(),
            ..self.req.host_criteria(&self.shared)
        };
        let host = self
            .shared
            .select_host(&self.req.service, &criteria)
            .ok_or(lift_route::AttemptFailure::NotSent)?;
        self.tried.push(host.location.host);
        let forwarded = self.forwarded_bytes;
        let call = self.req.to_call(&self.shared, None, version, forwarded);
        let mut exchange = exchange::Exchange::start(&self.shared, &host, call).await?;
        let head = exchange.recv_head(self.req.deadline).await?;
        check.check_head(forwarded, &head)?;
        let part = exchange.recv_part(self.req.deadline).await?;
        check.check_first_part(forwarded, &part)?;
        self.exchange = exchange;
        self.shared.counters.increment("entry.stream_resumed");
        Ok(part)
    }

    fn count_forwarded(&mut self, part: answer_part::AnswerPart) -> answer_part::AnswerPart {
        match &part {
            answer_part::AnswerPart::Data(bytes) => self.forwarded_bytes += bytes.len() as u64,
            answer_part::AnswerPart::End => {
                self.shared.guard.record_answer(&self.req, self.status);
            }
        }
        part
    }
}
