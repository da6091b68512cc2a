//! Weighted fair queue of waiting requests.

use std::{collections, time};

use crate::{dequeued, queue_item};

/// Virtual time that one request of a workspace with weight 1 takes.
const REQUEST_COST: u64 = 1 << 20;

/// Weight of the newest interval in the moving average of the time between admissions.
const AVERAGE_WEIGHT: f64 = 0.1;

/// Interval, in admissions, at which the oldest waiting request is admitted regardless of its
/// priority, so that background work is slow but never starves.
const OLDEST_FIRST_INTERVAL: u64 = 16;

type FlowKey = (lift_types::Priority, lift_types::WorkspaceId);

/// Weighted fair queue with priorities and a limit of queued requests for each workspace.
/// Admits from the highest priority, and within it from the workspace with the lowest virtual
/// start time.
#[derive(Debug, Default)]
pub struct FairQueue {
    flows: collections::BTreeMap<FlowKey, Flow>,
    queued: indexmap::IndexMap<lift_types::WorkspaceId, u32>,
    /// Virtual start time of the next request of flows that became empty. Without it a workspace
    /// that queues one request at a time would be admitted before those that queue several.
    idle_starts: collections::BTreeMap<FlowKey, u64>,
    virtual_now: u64,
    admissions: u64,
    /// Time of the latest admission, if requests have been waiting since.
    last_admission: Option<time::Instant>,
    average_interval: time::Duration,
}

/// Waiting requests of one workspace and priority, in order of arrival.
#[derive(Debug, Default)]
struct Flow {
    /// Virtual start time of the first item.
    start: u64,
    /// Waiting requests, each with the number of admissions before it was queued.
    items: collections::VecDeque<(u64, queue_item::QueueItem)>,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.items.len()).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns `QueueFull` if too many requests of the workspace wait, and `DeadlineUnmet` if
    /// the request would likely wait beyond its deadline.
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
        let start = self.idle_starts.remove(&key).unwrap_or_default();
        let virtual_now = self.virtual_now;
        let flow = self.flows.entry(key).or_insert_with(|| Flow {
            start: start.max(virtual_now),
            items: collections::VecDeque::new(),
        });
        flow.items.push_back((self.admissions, item));
        Ok(())
    }

    /// Removes the next request, or returns `None` if the queue is empty.
    pub fn pop(&mut self, now: time::Instant) -> Option<dequeued::Dequeued> {
        let key = self.next_flow()?;
        let flow = self.flows.get_mut(&key)?;
        let (_, item) = flow.items.pop_front()?;
        self.virtual_now = self.virtual_now.max(flow.start);
        flow.start += REQUEST_COST / u64::from(item.weight.max(1));
        if flow.items.is_empty() {
            self.idle_starts.insert(key.clone(), flow.start);
            self.flows.remove(&key);
        }
        let virtual_now = self.virtual_now;
        self.idle_starts.retain(|_, start| *start > virtual_now);
        self.decrement_queued(&item.workspace);
        if now >= item.deadline {
            return Some(dequeued::Dequeued::Expired {
                ticket: item.ticket,
            });
        }
        self.record_admission(now);
        Some(dequeued::Dequeued::Admitted {
            ticket: item.ticket,
        })
    }

    fn next_flow(&self) -> Option<FlowKey> {
        let is_oldest_first = self.admissions % OLDEST_FIRST_INTERVAL == OLDEST_FIRST_INTERVAL - 1;
        if is_oldest_first {
            let oldest = self
                .flows
                .iter()
                .min_by_key(|(_, flow)| flow.items.front().map(|(admissions, _)| *admissions));
            return oldest.map(|(key, _)| key.clone());
        }
        let (highest, _) = self.flows.keys().next_back()?;
        let of_highest = self.flows.iter().filter(|((p, _), _)| p == highest);
        of_highest
            .min_by_key(|(_, flow)| flow.start)
            .map(|(key, _)| key.clone())
    }

    fn decrement_queued(&mut self, workspace: &str) {
        let Some(queued) = self.queued.get_mut(workspace) else {
            return;
        };
        *queued -= 1;
        if *queued == 0 {
            self.queued.swap_remove(workspace);
        }
    }

    fn record_admission(&mut self, now: time::Instant) {
        self.admissions += 1;
        if let Some(last) = self.last_admission {
            let interval = now.saturating_duration_since(last);
            self.average_interval = self.average_interval.mul_f64(1.0 - AVERAGE_WEIGHT)
                + interval.mul_f64(AVERAGE_WEIGHT);
        }
        // Only intervals during which requests wait are averaged. The others measure the rate
        // of arrivals, not that of admissions.
        self.last_admission = (!self.flows.is_empty()).then_some(now);
    }

    /// Returns an estimate of the waiting time. It assumes that all queued requests of the
    /// workspace are admitted first, and with each of them one request of every other flow of
    /// this or a higher priority. Weights are left out.
    fn expected_wait(&self, priority: lift_types::Priority, queued: u32) -> time::Duration {
        let competing_flows = self.flows.keys().filter(|(p, _)| *p >= priority).count();
        let admissions = queued.saturating_mul(competing_flows.max(1) as u32);
        self.average_interval.saturating_mul(admissions)
    }
}
