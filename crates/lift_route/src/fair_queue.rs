//! Waiting requests, shared fairly between workspaces.

use std::{collections, time};

use crate::{queue_item, queue_turn};

/// Virtual time that one request of a workspace of weight 1 takes.
const UNIT: u64 = 1 << 20;

/// Weight of the newest interval in the average time between turns.
const AVERAGE_WEIGHT: f64 = 0.1;

/// Every this many turns the oldest waiting request goes first whatever its priority, so
/// that background work is slow but never stands still.
const AGED_TURN: u64 = 16;

type LaneKey = (lift_types::Priority, lift_types::WorkspaceId);

/// Weighted fair queue with priorities and a bound for each workspace. A turn goes to the
/// highest priority, in it to the workspace with the lowest virtual time.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: collections::BTreeMap<LaneKey, Lane>,
    queued: indexmap::IndexMap<lift_types::WorkspaceId, u32>,
    /// Start of the next item of lanes that ran empty. Without it a workspace that queues one
    /// request at a time would go before those that queue several.
    ahead: collections::BTreeMap<LaneKey, u64>,
    virtual_now: u64,
    turns: u64,
    last_turn: Option<time::Instant>,
    average_turn: time::Duration,
}

#[derive(Debug, Default)]
struct Lane {
    /// Virtual time at which the first item starts.
    start: u64,
    items: collections::VecDeque<(u64, queue_item::QueueItem)>,
}

impl FairQueue {
    /// Starts empty.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.lanes.values().map(|lane| lane.items.len()).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns `QueueFull` where too many requests of the workspace wait, and
    /// `DeadlineUnmet` where the request would likely wait beyond its deadline.
    pub fn push(
        &mut self,
        now: time::Instant,
        item: queue_item::QueueItem,
    ) -> Result<(), lift_types::RefusalReason> {
        let queued = self
            .queued
            .get(&item.workspace)
            .copied()
            .unwrap_or_default();
        if queued >= item.max_queued {
            return Err(lift_types::RefusalReason::QueueFull);
        }
        if now + self.expected_wait(item.priority, queued) >= item.deadline {
            return Err(lift_types::RefusalReason::DeadlineUnmet);
        }
        *self.queued.entry(item.workspace.clone()).or_default() += 1;
        let key = (item.priority, item.workspace.clone());
        let start = self.ahead.remove(&key).unwrap_or_default();
        let virtual_now = self.virtual_now;
        let lane = self.lanes.entry(key).or_insert_with(|| Lane {
            start: start.max(virtual_now),
            items: collections::VecDeque::new(),
        });
        lane.items.push_back((self.turns, item));
        Ok(())
    }

    /// Takes the request that comes next.
    pub fn pop(&mut self, now: time::Instant) -> Option<queue_turn::QueueTurn> {
        let key = self.next_lane()?;
        let lane = self.lanes.get_mut(&key)?;
        let (_, item) = lane.items.pop_front()?;
        self.virtual_now = self.virtual_now.max(lane.start);
        lane.start += UNIT / u64::from(item.weight.max(1));
        if lane.items.is_empty() {
            self.ahead.insert(key.clone(), lane.start);
            self.lanes.remove(&key);
        }
        let virtual_now = self.virtual_now;
        self.ahead.retain(|_, start| *start > virtual_now);
        self.release(&item.workspace);
        if now >= item.deadline {
            return Some(queue_turn::QueueTurn::Late {
                ticket: item.ticket,
            });
        }
        self.count_turn(now);
        Some(queue_turn::QueueTurn::Admit {
            ticket: item.ticket,
        })
    }

    fn next_lane(&self) -> Option<LaneKey> {
        let is_aged = self.turns % AGED_TURN == AGED_TURN - 1;
        if is_aged {
            let oldest = self
                .lanes
                .iter()
                .min_by_key(|(_, lane)| lane.items.front().map(|(turn, _)| *turn));
            return oldest.map(|(key, _)| key.clone());
        }
        let (highest, _) = self.lanes.keys().next_back()?;
        let of_highest = self.lanes.iter().filter(|((p, _), _)| p == highest);
        of_highest
            .min_by_key(|(_, lane)| lane.start)
            .map(|(key, _)| key.clone())
    }

    fn release(&mut self, workspace: &str) {
        let Some(queued) = self.queued.get_mut(workspace) else {
            return;
        };
        *queued -= 1;
        if *queued == 0 {
            self.queued.swap_remove(workspace);
        }
    }

    fn count_turn(&mut self, now: time::Instant) {
        self.turns += 1;
        if let Some(last) = self.last_turn {
            let interval = now.saturating_duration_since(last);
            self.average_turn =
                self.average_turn.mul_f64(1.0 - AVERAGE_WEIGHT) + interval.mul_f64(AVERAGE_WEIGHT);
        }
        // An interval counts only while requests wait; otherwise it says how seldom
        // they come, not how fast they are admitted.
        self.last_turn = (!self.lanes.is_empty()).then_some(now);
    }

    /// Lower bound of the wait: own requests go first in, first out, and each other
    /// workspace of this or a higher priority gets a turn in between.
    fn expected_wait(&self, priority: lift_types::Priority, queued: u32) -> time::Duration {
        let rivals = self.lanes.keys().filter(|(p, _)| *p >= priority).count();
        let turns = queued.saturating_mul(rivals.max(1) as u32);
        self.average_turn.saturating_mul(turns)
    }
}
