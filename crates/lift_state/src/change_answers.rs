//! First answers to configuration changes.

use std::{collections, time};

use crate::change_reply;

/// Time for which the answer to a change is kept.
const RETENTION: time::Duration = time::Duration::from_hours(24);

/// Answers that one of 16 shards keeps: three times the changes of a day at 22,000. Without
/// a bound a program that resends under new ids could fill the memory.
const MAX_ANSWERS: usize = 4_096;

/// Answer to a change, with what it takes to recognise the change.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) struct ChangeAnswer {
    pub(crate) hash: lift_types::ChunkHash,
    pub(crate) reply: change_reply::ChangeReply,
}

/// One shard of answers by change id.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub(crate) struct ChangeAnswers {
    answers: collections::HashMap<lift_types::ChangeId, ChangeAnswer>,
    oldest_first: collections::VecDeque<(time::SystemTime, lift_types::ChangeId)>,
}

impl ChangeAnswers {
    /// Answer to a change that was seen before.
    pub(crate) fn find(&self, id: &str) -> Option<&ChangeAnswer> {
        self.answers.get(id)
    }

    /// Keeps the first answer to a change, and drops answers that are too old or too many.
    pub(crate) fn keep(
        &mut self,
        id: lift_types::ChangeId,
        answer: ChangeAnswer,
        at: time::SystemTime,
    ) {
        while let Some((first, _)) = self.oldest_first.front() {
            let age = at.duration_since(*first).unwrap_or_default();
            if age < RETENTION && self.oldest_first.len() < MAX_ANSWERS {
                break;
            }
            if let Some((_, id)) = self.oldest_first.pop_front() {
                self.answers.remove(&id);
            }
        }
        self.oldest_first.push_back((at, id.clone()));
        self.answers.insert(id, answer);
    }
}
