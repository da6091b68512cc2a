//! Guards against unfair shares between workspaces, starvation by priority, unbounded queues,
//! rates above the limit, and retries beyond their budget.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::time;

use lift_route::{Dequeued, FairQueue, QueueItem};
use lift_types::{Priority, RefusalReason};
use rand::SeedableRng as _;

fn item(ticket: u64, workspace: &str, weight: u32, now: time::Instant) -> QueueItem {
    QueueItem {
        ticket,
        workspace: String::from(workspace),
        weight,
        max_queued: 1_000,
        priority: Priority::Normal,
        deadline: now + time::Duration::from_secs(60),
    }
}

#[test]
fn admissions_follow_the_weights_even_if_a_workspace_queues_one_request_at_a_time() {
    let now = time::Instant::now();
    let mut queue = FairQueue::new();
    for ticket in 0..900 {
        queue.push(now, item(ticket, "large", 1, now)).unwrap();
    }
    let mut counts = [0, 0];
    queue.push(now, item(10_000, "single", 3, now)).unwrap();
    for _ in 0..400 {
        let Some(Dequeued::Admitted { ticket }) = queue.pop(now) else {
            panic!("the queue is empty");
        };
        let is_single = ticket >= 10_000;
        counts[usize::from(is_single)] += 1;
        if is_single {
            queue.push(now, item(10_000, "single", 3, now)).unwrap();
        }
    }
    let share = f64::from(counts[1]) / 400.0;
    assert!(
        (0.6..0.9).contains(&share),
        "share {share} of a weight of 3 in 4"
    );
}

#[test]
fn urgent_work_goes_first_and_background_work_does_not_starve() {
    let now = time::Instant::now();
    let mut queue = FairQueue::new();
    let with = |ticket, priority| QueueItem {
        priority,
        ..item(ticket, "depot", 1, now)
    };
    queue.push(now, with(1, Priority::Background)).unwrap();
    for ticket in 10..60 {
        queue.push(now, with(ticket, Priority::Urgent)).unwrap();
    }
    let position = (0..51).find(|_| queue.pop(now) == Some(Dequeued::Admitted { ticket: 1 }));
    assert!((1..20).contains(&position.unwrap()), "{position:?}");
}

#[test]
fn requests_over_the_queue_limit_or_past_their_deadline_are_refused() {
    let now = time::Instant::now();
    let mut queue = FairQueue::new();
    let bounded = |ticket| QueueItem {
        max_queued: 2,
        ..item(ticket, "depot", 1, now)
    };
    queue.push(now, bounded(1)).unwrap();
    queue.push(now, bounded(2)).unwrap();
    assert_eq!(queue.push(now, bounded(3)), Err(RefusalReason::QueueFull));
    let past = QueueItem {
        deadline: now,
        ..item(4, "other", 1, now)
    };
    assert_eq!(queue.push(now, past), Err(RefusalReason::DeadlineUnmet));
    let later = now + time::Duration::from_secs(61);
    assert_eq!(queue.pop(later), Some(Dequeued::Expired { ticket: 1 }));
}

#[test]
fn a_token_bucket_keeps_its_rate_and_burst() {
    let start = time::Instant::now();
    let mut bucket = lift_route::TokenBucket::new(start, 5);
    let mut taken = 0;
    for ms in 0..10_000 {
        let now = start + time::Duration::from_millis(ms);
        taken += u32::from(bucket.take(now, 20, 5));
    }
    assert!((200..=206).contains(&taken), "{taken}");
}

#[test]
fn retries_stay_within_a_fifth_of_the_traffic() {
    let mut budget = lift_route::RetryBudget::new();
    let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        for attempts in 1.. {
            let decision = lift_route::RetryPolicy.decide(
                lift_route::AttemptFailure::ConnectionLost,
                attempts,
                time::Duration::from_secs(5),
                &mut budget,
                &mut rng,
            );
            if matches!(decision, lift_route::RetryDecision::GiveUp { .. }) {
                break;
            }
            retries += 1;
        }
    }
    assert!(retries <= 2_100, "{retries} retries of 10,000 requests");
}

#[test]
fn only_first_attempts_of_idempotent_calls_are_hedged() {
    let mut budget = lift_route::RetryBudget::new();
    let policy = lift_route::RetryPolicy;
    let idempotent = lift_types::Idempotency::Idempotent;
    assert!(policy.try_hedge(idempotent, 1, &mut budget));
    assert!(!policy.try_hedge(idempotent, 2, &mut budget));
    assert!(!policy.try_hedge(lift_types::Idempotency::NonIdempotent, 1, &mut budget));
}
