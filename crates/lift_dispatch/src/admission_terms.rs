//! Limits on the places that a request may use.

use std::time;

use crate::{admission, rank_place};

/// Share of a server's slots that limited requests of the least urgent rank leave free. More urgent
/// requests then find places for the time that a burst takes to be noticed by all gateways, and
/// more than half of the slots stay usable.
const RESERVED_SHARE: f64 = 0.4;

/// Shortest target latency that applies to less urgent requests, as a share of their own. A rare
/// kind with a very short target must not keep the others from queuing at all.
const MIN_TARGET_SHARE: f64 = 0.25;

/// Terms on which a request looks for a place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionTerms {
    /// Target latency that limits the queue and the prompts ahead.
    pub target: time::Duration,
    /// Whether it must leave the last places free.
    pub admission: admission::Admission,
    /// Depth of the rank, from 0 for the most urgent to 1 for the least urgent.
    depth: f64,
}

impl AdmissionTerms {
    /// Terms of a request with the target latency `own_target`. A less urgent request waits no
    /// longer than a more urgent one could, since the queue of a server is shared.
    pub fn new(
        place: Option<rank_place::RankPlace>,
        own_target: time::Duration,
        admission: admission::Admission,
    ) -> Self {
        let target = place.map_or(own_target, |place| {
            let shortest = own_target.mul_f64(MIN_TARGET_SHARE);
            own_target.min(place.shortest_target.max(shortest))
        });
        let depth = place.map_or(0.0, |place| place.depth());
        Self {
            target,
            admission,
            depth,
        }
    }

    /// Requests that a server may have in addition to those in its slots, as a share of the slots,
    /// where the latencies of the service allow `queue_share`. It is negative if slots must stay
    /// free.
    pub fn queue_share(&self, queue_share: f64) -> f64 {
        match self.admission {
            admission::Admission::Unlimited => queue_share,
            admission::Admission::Limited => -RESERVED_SHARE * self.depth,
        }
    }
}
