//! Decision which parts of prompts crash backend servers.

use std::{cmp, collections, mem, time};

use crate::{
    blocked_parts, crash_log, part_answers, part_crash, part_evidence, quarantine,
    quarantine_change,
};

/// Backend servers that must have ended one after the other on a part before it is quarantined.
const MIN_ENDS: usize = 3;

/// Backend servers that must have ended one after the other on a part that was never answered
/// before requests with it are no longer repeated.
const MIN_ENDS_TO_REFUSE_REPEATS: usize = 2;

/// Time from the first end to the quarantine of a part that was never answered. Answers that are in
/// progress clear sound parts in it.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(300);

/// Time from the first end to the quarantine of a part that was answered before. An answer to a
/// request that is sent after the first end completes in it.
const SETTLE_TIME_IF_ANSWERED: time::Duration = time::Duration::from_millis(1_500);

/// Time from the last end that counts to the end of the quarantine, and age at which an end no
/// longer counts. Since both are the same, a quarantine that has passed needs new evidence, and a
/// gateway that starts during it comes to the same decision as the others.
const QUARANTINE_TIME: time::Duration = time::Duration::from_mins(10);

/// Largest number of quarantines at once.
const MAX_QUARANTINES: usize = 64;

/// Decides which parts of prompts are quarantined because they crash backend servers, a "query of
/// death" of which only one part is at fault.
///
/// A part is suspected while backend servers end one after the other on requests with it and no
/// answer to such a request completes, although answers to other requests do. The part that
/// explains most is quarantined, and the ends that it explains no longer count against the other
/// parts, which sound requests share. Parts that stood in one request at each of the ends are
/// quarantined together: only requests that hold all of them are refused, until further requests
/// tell them apart. See `docs/platform.md`.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    crashes: crash_log::CrashLog,
    answers: part_answers::PartAnswers,
    quarantines: collections::VecDeque<quarantine::Quarantine>,
    /// Whether a part may become quarantined without further evidence.
    is_undecided: bool,
    changes: Vec<quarantine_change::QuarantineChange>,
}

impl PartQuarantine {
    /// Whether nothing is suspected, so that the digests of whole requests need not be known.
    pub fn is_calm(&self) -> bool {
        self.crashes.is_empty() && self.quarantines.is_empty()
    }

    /// The parts that keep a request with these parts from backend servers for the longest time.
    /// `None` if the request may be sent.
    pub fn blocked(
        &self,
        now: time::Instant,
        parts: &[lift_fleet::PromptPart],
    ) -> Option<blocked_parts::BlockedParts> {
        let covering = self.quarantines.iter().filter(|q| q.covers(parts));
        let longest = covering.max_by_key(|quarantine| quarantine.until)?;
        let time_left = longest.until.saturating_duration_since(now);
        let parts = longest.parts();
        (!time_left.is_zero()).then_some(blocked_parts::BlockedParts { parts, time_left })
    }

    /// Whether a request with these parts may be sent to another backend server after an attempt
    /// has broken. A repeat ends another backend server if one of the parts is at fault, so it is
    /// refused on less evidence than a new request.
    pub fn may_repeat(&self, now: time::Instant, parts: &[lift_fleet::PromptPart]) -> bool {
        let is_running = |quarantine: &quarantine::Quarantine| now < quarantine.until;
        let mut running = self.quarantines.iter().filter(|q| is_running(q));
        if running.any(|quarantine| quarantine.suspects_any(parts)) {
            return false;
        }
        if self.crashes.is_empty() {
            return true;
        }
        let evidence = self.crashes.evidence();
        parts.iter().all(|part| {
            let evidence = evidence.get(part.as_str());
            let ends = evidence.map_or(0, |evidence| evidence.ends.count_separate());
            match self.answers.last_answer(part) {
                Some(_) => ends < MIN_ENDS,
                None => ends < MIN_ENDS_TO_REFUSE_REPEATS,
            }
        })
    }

    /// Records that `backend` ended at `at` while it worked on a request with `parts`. Copies of
    /// the same observation change nothing.
    pub fn record_crash(
        &mut self,
        now: time::Instant,
        at: time::Instant,
        backend: &str,
        parts: &[lift_fleet::PromptPart],
    ) {
        if now.saturating_duration_since(at) >= QUARANTINE_TIME {
            return;
        }
        if self.quarantines.iter().any(|q| q.covers(parts)) {
            self.crashes.explain(backend, at);
            self.quarantines
                .iter_mut()
                .for_each(|q| q.forget_end(backend));
            return;
        }
        if self.crashes.is_explained(backend, at) {
            return;
        }
        let is_suspected =
            |part: &&lift_fleet::PromptPart| self.answers.last_answer(part).is_none_or(|a| a < at);
        let suspects = parts.iter().filter(is_suspected).cloned();
        let suspects: indexmap::IndexSet<_> = suspects.collect();
        let crash = part_crash::PartCrash {
            backend: String::from(backend),
            at,
            suspects,
        };
        self.is_undecided |= self.crashes.add(crash);
        for quarantine in &mut self.quarantines {
            quarantine.record_end(backend, at, parts);
            if quarantine.narrow() {
                let parts = quarantine.parts();
                self.crashes.explain_by(&parts);
                let change = quarantine_change::QuarantineChange::Narrowed { parts };
                self.changes.push(change);
            }
        }
    }

    /// Records that an answer to a request with `part` was complete at `at`, which clears the part
    /// of all ends before. Returns whether that was news, so that other gateways should know.
    pub fn record_answer(&mut self, at: time::Instant, part: &str) -> bool {
        // Most requests come once, so their digests would push out the parts.
        match lift_fleet::RequestDigest::is_digest(part) && !self.is_suspected(part) {
            true => self.answers.record_any(at),
            false => self.answers.record(at, part),
        }
        let mut is_news = self.crashes.clear(at, part);
        for quarantine in &mut self.quarantines {
            if !quarantine.clear(at, part) {
                continue;
            }
            is_news = true;
            let parts = quarantine.parts();
            self.changes.push(match parts.is_empty() {
                true => quarantine_change::QuarantineChange::Answered {
                    part: String::from(part),
                },
                false => {
                    self.crashes.explain_by(&parts);
                    quarantine_change::QuarantineChange::Narrowed { parts }
                }
            });
        }
        self.quarantines.retain(|quarantine| !quarantine.is_empty());
        is_news
    }

    /// Whether [`Self::update`] may change anything because time has passed, or has changes to
    /// return.
    pub fn is_update_due(&self, now: time::Instant) -> bool {
        let is_over = |quarantine: &quarantine::Quarantine| now >= quarantine.until;
        let is_old = |at: time::Instant| now.saturating_duration_since(at) >= QUARANTINE_TIME;
        self.crashes.is_expired(is_old)
            || self.is_undecided
            || !self.changes.is_empty()
            || self.quarantines.iter().any(is_over)
    }

    /// Starts and ends quarantines. Returns all changes since the last call.
    pub fn update(&mut self, now: time::Instant) -> Vec<quarantine_change::QuarantineChange> {
        self.remove_expired(now);
        while let Some(part) = self.worst_suspect(now) {
            self.start_quarantine(now, &part);
        }
        mem::take(&mut self.changes)
    }

    fn remove_expired(&mut self, now: time::Instant) {
        let is_old = |at: time::Instant| now.saturating_duration_since(at) >= QUARANTINE_TIME;
        self.crashes.retain(|at| !is_old(at));
        let changes = &mut self.changes;
        self.quarantines.retain(|quarantine| {
            let is_over = now >= quarantine.until;
            if is_over {
                let parts = quarantine.parts();
                changes.push(quarantine_change::QuarantineChange::Expired { parts });
            }
            !is_over
        });
    }

    /// The part that explains the ends best, if the evidence suffices for a quarantine.
    fn worst_suspect(&mut self, now: time::Instant) -> Option<lift_fleet::PromptPart> {
        if !self.is_undecided {
            return None;
        }
        let mut evidence = self.crashes.evidence();
        evidence.retain(|suspect, evidence| self.is_enough(suspect, evidence));
        self.is_undecided = !evidence.is_empty();
        let worst = evidence.iter().max_by(|a, b| self.cmp_suspects(a, b))?;
        // Two suspects that explain as many ends, but not the same ones, are told apart by the next.
        let companions = self.crashes.companions(worst.0);
        let is_tied = evidence.iter().any(|other| {
            !companions.contains(*other.0)
                && other.1.excludes(other.0, worst.1, worst.0)
                && self.cmp_suspects(&other, &worst).is_eq()
        });
        let is_decided = !is_tied && self.is_settled(now, worst.0, worst.1);
        is_decided.then(|| String::from(*worst.0))
    }

    /// Orders two suspects by how well each explains the ends.
    fn cmp_suspects(&self, a: &Evidence, b: &Evidence) -> cmp::Ordering {
        let (answered, other_answered) =
            (self.answers.last_answer(a.0), self.answers.last_answer(b.0));
        a.1.cmp_with(answered, b.1, other_answered)
    }

    /// Whether enough backend servers have ended on a suspect. A part must also explain most of the
    /// ends since its first one, since it stands in many requests. One request is seldom at several
    /// servers that end, and other deadly ones may come beside it.
    fn is_enough(&self, suspect: &str, evidence: &part_evidence::PartEvidence) -> bool {
        let ends = evidence.ends.count_separate();
        let explains_most = || ends * 2 > self.crashes.count_separate_since(evidence.ends.first());
        let is_request = lift_fleet::RequestDigest::is_digest(suspect);
        ends >= MIN_ENDS && (is_request || explains_most())
    }

    /// Whether there is evidence against `suspect`, or it is quarantined.
    fn is_suspected(&self, suspect: &str) -> bool {
        let is_quarantined = |quarantine: &quarantine::Quarantine| quarantine.suspects(suspect);
        self.crashes.suspects(suspect) || self.quarantines.iter().any(is_quarantined)
    }

    /// Whether the part would have been answered since the first end if it was sound: some time has
    /// passed, and requests with other parts were answered.
    fn is_settled(
        &self,
        now: time::Instant,
        part: &str,
        evidence: &part_evidence::PartEvidence,
    ) -> bool {
        let settle_time = match self.answers.last_answer(part) {
            Some(_) => SETTLE_TIME_IF_ANSWERED,
            None => SETTLE_TIME,
        };
        evidence.ends.first().is_some_and(|first| {
            now.saturating_duration_since(first) >= settle_time
                && self.answers.last_of_any() >= Some(first)
        })
    }

    /// Quarantines a part together with those that no request has told apart from it.
    fn start_quarantine(&mut self, now: time::Instant, part: &str) {
        let evidence = self.crashes.evidence();
        let companions = self.crashes.companions(part);
        let ends_of = |part: &&str| Some((String::from(*part), evidence.get(part)?.ends.clone()));
        let suspects: indexmap::IndexMap<_, _> = companions.iter().filter_map(ends_of).collect();
        let ends = suspects.get(part).cloned().unwrap_or_default();
        self.crashes.explain_by(&[String::from(part)]);
        let (Some(first_end), Some(last_end)) = (ends.first(), ends.last()) else {
            return;
        };
        let until = last_end + QUARANTINE_TIME;
        if self.quarantines.len() >= MAX_QUARANTINES {
            self.quarantines.pop_front();
        }
        let quarantine = quarantine::Quarantine::new(suspects, first_end, until);
        self.changes
            .push(quarantine_change::QuarantineChange::Started {
                parts: quarantine.parts(),
                ends: ends.count_separate(),
                lasts: until.saturating_duration_since(now),
            });
        self.quarantines.push_back(quarantine);
    }
}

/// A suspected part and the evidence against it.
type Evidence<'a> = (&'a &'a str, &'a part_evidence::PartEvidence);
