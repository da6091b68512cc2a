//! What all callers share.

use std::{sync, time};

use sync::atomic;

use crate::{answer_text, call_end, counts, oracle, request_kind, soak_caller};

/// Time after which a request that is still unanswered did not cross the close of its connection.
const CROSSING: time::Duration = time::Duration::from_millis(200);

/// The book and the counts of all callers.
#[derive(Debug)]
pub(crate) struct Callers {
    pub(crate) oracle: sync::Arc<oracle::Oracle>,
    /// Keys that are used. One may have been taken away.
    pub(crate) keys: parking_lot::Mutex<Vec<String>>,
    /// Requests with the lasting key, which nothing but a fault keeps from being served.
    pub(crate) counts:
        parking_lot::Mutex<indexmap::IndexMap<request_kind::RequestKind, counts::Counts>>,
    /// Whether nothing but planned stops goes on, so that no request may be cut.
    pub(crate) is_calm: atomic::AtomicBool,
}

impl Callers {
    /// Checks an answer that has come whole.
    pub(crate) fn check(
        &self,
        kind: request_kind::RequestKind,
        id: &str,
        head: &http::response::Parts,
        text: &str,
    ) -> call_end::CallEnd {
        let (echoed, seal) = lift_peer::CallerText::read(&head.headers);
        if echoed.is_some_and(|echoed| echoed != id) {
            self.oracle
                .violate(format!("{id} got the answer to {echoed:?}"));
        }
        if !head.status.is_success() {
            return call_end::CallEnd::Declined(head.status);
        }
        let fault = match kind {
            _ if seal != Some(&answer_text::seal(id)) => Some(format!("seal {seal:?}")),
            request_kind::RequestKind::Stream => answer_text::stream_fault(id, text),
            _ => (text != answer_text::body(id)).then(|| format!("body {text:?}")),
        };
        if let Some(fault) = fault {
            self.oracle.violate(format!("{id}: {fault}"));
        }
        call_end::CallEnd::Answered
    }

    pub(crate) fn note(
        &self,
        kind: request_kind::RequestKind,
        id: &str,
        end: &call_end::CallEnd,
        was_calm: bool,
        took: time::Duration,
    ) {
        match end {
            call_end::CallEnd::Answered => {
                self.oracle.served.fetch_add(1, atomic::Ordering::Relaxed);
            }
            call_end::CallEnd::Declined(status) if lift_peer::CallerText::is_not_run(*status) => {
                self.oracle.refuse(id, kind, status.as_u16());
            }
            call_end::CallEnd::Declined(_) => {
                self.oracle.failed.fetch_add(1, atomic::Ordering::Relaxed);
            }
            call_end::CallEnd::Cut => {
                self.oracle.failed.fetch_add(1, atomic::Ordering::Relaxed);
                // A request that crosses the close of its connection was not read.
                let was_read = took > CROSSING && took < soak_caller::PATIENCE;
                if was_calm && (was_read || self.oracle.runs(id) > 0) {
                    let took = took.as_millis();
                    self.oracle
                        .violate(format!("{id} was cut after {took} ms by a planned stop"));
                }
            }
        }
    }

    pub(crate) fn count(&self, kind: request_kind::RequestKind, end: &call_end::CallEnd) {
        let mut counts = self.counts.lock();
        let counts = counts.entry(kind).or_default();
        counts.sent += 1;
        counts.served += u64::from(matches!(end, call_end::CallEnd::Answered));
    }

    /// Starts to count anew, and returns what was counted.
    pub(crate) fn take_counts(
        &self,
    ) -> indexmap::IndexMap<request_kind::RequestKind, counts::Counts> {
        std::mem::take(&mut self.counts.lock())
    }
}
