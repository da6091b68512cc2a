//! Decision which parts of prompts crash backend servers.

use std::{mem, time};

use crate::{
    blocked_part, crash_log, part_answers, part_crash, part_evidence, quarantine, quarantine_change,
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
/// parts, which sound requests share. See `docs/platform.md`.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    crashes: crash_log::CrashLog,
    answers: part_answers::PartAnswers,
    quarantines: indexmap::IndexMap<lift_fleet::PromptPart, quarantine::Quarantine>,
    /// Whether a part may become quarantined without further evidence.
    is_undecided: bool,
    changes: Vec<quarantine_change::QuarantineChange>,
}

impl PartQuarantine {
    /// The part that keeps a request with these parts from backend servers for the longest time.
    /// `None` if the request may be sent.
    pub fn blocked(
        &self,
        now: time::Instant,
        parts: &[lift_fleet::PromptPart],
    ) -> Option<blocked_part::BlockedPart> {
        if self.quarantines.is_empty() {
            return None;
        }
        let blocked = parts.iter().filter_map(|part| {
            let quarantine = self.quarantines.get(part)?;
            let time_left = quarantine.until.saturating_duration_since(now);
            let part = part.clone();
            Some(blocked_part::BlockedPart { part, time_left })
        });
        let longest = blocked.max_by_key(|blocked| blocked.time_left);
        longest.filter(|blocked| !blocked.time_left.is_zero())
    }

    /// Whether a request with these parts may be sent to another backend server after an attempt
    /// has broken. A repeat ends another backend server if one of the parts is at fault, so it is
    /// refused on less evidence than a new request.
    pub fn may_repeat(&self, now: time::Instant, parts: &[lift_fleet::PromptPart]) -> bool {
        if self.blocked(now, parts).is_some() {
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
        if parts.iter().any(|part| self.quarantines.contains_key(part)) {
            self.crashes.explain(backend, at);
            return;
        }
        let is_suspected = |part: &str| self.answers.last_answer(part).is_none_or(|a| a < at);
        let suspects = parts.iter().enumerate();
        let suspects = suspects.filter(|(_, part)| is_suspected(part));
        let suspects = suspects.map(|(i, part)| (part.clone(), i));
        let crash = part_crash::PartCrash {
            backend: String::from(backend),
            at,
            suspects: suspects.collect(),
        };
        self.is_undecided |= self.crashes.add(crash);
    }

    /// Records that an answer to a request with `part` was complete at `at`, which clears the part
    /// of all ends before. Returns whether that was news, so that other gateways should know.
    pub fn record_answer(&mut self, at: time::Instant, part: &str) -> bool {
        self.answers.record(at, part);
        let mut is_news = self.crashes.clear(at, part);
        let quarantine = self.quarantines.get(part);
        if quarantine.is_some_and(|quarantine| at >= quarantine.first_end) {
            self.quarantines.shift_remove(part);
            let part = String::from(part);
            let change = quarantine_change::QuarantineChange::Answered { part };
            self.changes.push(change);
            is_news = true;
        }
        is_news
    }

    /// Whether [`Self::update`] may change anything because time has passed.
    pub fn is_update_due(&self, now: time::Instant) -> bool {
        let is_over = |quarantine: &quarantine::Quarantine| now >= quarantine.until;
        self.is_undecided || self.quarantines.values().any(is_over)
    }

    /// Starts and ends quarantines. Returns all changes since the last call.
    pub fn update(&mut self, now: time::Instant) -> Vec<quarantine_change::QuarantineChange> {
        self.remove_expired(now);
        while let Some((part, evidence)) = self.worst_suspect(now) {
            self.start_quarantine(now, part, &evidence);
        }
        mem::take(&mut self.changes)
    }

    fn remove_expired(&mut self, now: time::Instant) {
        let is_old = |at: time::Instant| now.saturating_duration_since(at) >= QUARANTINE_TIME;
        self.crashes.retain(|at| !is_old(at));
        let changes = &mut self.changes;
        self.quarantines.retain(|part, quarantine| {
            let is_over = now >= quarantine.until;
            if is_over {
                let part = part.clone();
                changes.push(quarantine_change::QuarantineChange::Expired { part });
            }
            !is_over
        });
    }

    /// The part that explains the ends best, if the evidence suffices for a quarantine.
    fn worst_suspect(
        &mut self,
        now: time::Instant,
    ) -> Option<(lift_fleet::PromptPart, part_evidence::PartEvidence)> {
        if !self.is_undecided {
            return None;
        }
        let mut evidence = self.crashes.evidence();
        evidence.retain(|_, evidence| self.is_enough(evidence));
        let worst = evidence.iter().max_by(|(part, evidence), (other, rest)| {
            let answered = self.answers.last_answer(part);
            evidence.cmp_with(answered, rest, self.answers.last_answer(other))
        });
        let worst = worst.map(|(part, evidence)| (String::from(*part), evidence.clone()));
        self.is_undecided = worst.is_some();
        worst.filter(|(part, evidence)| self.is_settled(now, part, evidence))
    }

    /// Whether enough backend servers have ended on a part, and the part explains most of the ends
    /// since its first one.
    fn is_enough(&self, evidence: &part_evidence::PartEvidence) -> bool {
        let ends = evidence.ends.count_separate();
        ends >= MIN_ENDS && ends * 2 > self.crashes.count_separate_since(evidence.ends.first())
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

    fn start_quarantine(
        &mut self,
        now: time::Instant,
        part: lift_fleet::PromptPart,
        evidence: &part_evidence::PartEvidence,
    ) {
        let (Some(first_end), Some(last_end)) = (evidence.ends.first(), evidence.ends.last())
        else {
            return;
        };
        let until = last_end + QUARANTINE_TIME;
        if self.quarantines.len() >= MAX_QUARANTINES {
            self.quarantines.shift_remove_index(0);
        }
        let quarantine = quarantine::Quarantine { first_end, until };
        self.quarantines.insert(part.clone(), quarantine);
        self.crashes.explain_by(&part);
        self.changes
            .push(quarantine_change::QuarantineChange::Started {
                part,
                ends: evidence.ends.count_separate(),
                lasts: until.saturating_duration_since(now),
            });
    }
}
