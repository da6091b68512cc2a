//! Budget of what a process holds for others, and bodies that are read within it.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::{convert, time};

use http_body_util::BodyExt as _;

const MIB: usize = 1024 * 1024;

/// Reads bodies of up to 4 MiB.
const READER: lift_listen::BodyReader = lift_listen::BodyReader {
    max_bytes: 4 * MIB,
    stall_timeout: time::Duration::from_secs(15),
};

fn budget() -> std::sync::Arc<lift_listen::ByteBudget> {
    lift_listen::ByteBudget::new(lift_listen::ByteBudget::bytes_for(128))
}

/// Holds bytes in pieces of `bytes` until there is no more room.
fn fill(
    budget: &std::sync::Arc<lift_listen::ByteBudget>,
    kind: lift_listen::HeldKind,
    bytes: usize,
) -> Vec<lift_listen::HeldBytes> {
    let hold = || {
        let mut held = budget.hold(kind);
        held.set(bytes).then_some(held)
    };
    std::iter::from_fn(hold).collect()
}

/// A body of one part, after which nothing comes.
fn unfinished(
    bytes: usize,
) -> impl hyper::body::Body<Data = bytes::Bytes, Error = convert::Infallible> {
    let mut part = Some(bytes::Bytes::from(vec![0; bytes]));
    http_body_util::StreamBody::new(futures_util::stream::poll_fn(move |_| match part.take() {
        Some(part) => std::task::Poll::Ready(Some(Ok(hyper::body::Frame::data(part)))),
        None => std::task::Poll::Pending,
    }))
}

#[test]
fn large_bodies_leave_room_for_small_ones_and_for_answers() {
    // Guards against a crowd of large bodies that starves small bodies, or all answers.
    let budget = budget();
    let large = fill(&budget, lift_listen::HeldKind::Body, 4 * MIB);
    assert!(!large.is_empty());
    let small = fill(&budget, lift_listen::HeldKind::Body, 16 * 1024);
    assert!(small.len() > 100, "{} small bodies", small.len());
    let answers = fill(&budget, lift_listen::HeldKind::Answer, 4 * MIB);
    assert!(answers.len() >= 2, "{} answers", answers.len());
}

#[test]
fn all_bytes_return_to_the_budget() {
    // Guards against a budget that shrinks with each refusal or each body that grows.
    let budget = budget();
    let first = fill(&budget, lift_listen::HeldKind::Body, 4 * MIB).len();
    for _ in 0..100 {
        let mut held = budget.hold(lift_listen::HeldKind::Body);
        assert!(held.set(10) && held.set(MIB) && !held.set(1_000 * MIB) && held.set(20));
    }
    let second = fill(&budget, lift_listen::HeldKind::Body, 4 * MIB).len();
    assert_eq!(first, second);
}

#[tokio::test]
async fn a_body_that_is_announced_over_the_limit_is_not_read() {
    // Guards against reading a body that will be refused anyway.
    let mut headers = http::HeaderMap::new();
    headers.insert(
        http::header::CONTENT_LENGTH,
        http::HeaderValue::from(4 * MIB + 1),
    );
    let body = http_body_util::Full::new(bytes::Bytes::from_static(b"x"))
        .map_frame(|_: hyper::body::Frame<bytes::Bytes>| panic!("the body was read"));
    let held = budget().hold(lift_listen::HeldKind::Body);
    let read = READER.read(&headers, body, held).await;
    assert_eq!(read.unwrap_err(), lift_listen::BodyError::TooLong);
}

#[tokio::test(start_paused = true)]
async fn a_body_without_progress_ends() {
    // Guards against bodies that hold their memory until the deadline of their request.
    let held = budget().hold(lift_listen::HeldKind::Body);
    let started = tokio::time::Instant::now();
    let read = READER
        .read(&http::HeaderMap::new(), unfinished(MIB), held)
        .await;
    assert_eq!(read.unwrap_err(), lift_listen::BodyError::Stalled);
    assert!(started.elapsed() < READER.stall_timeout * 2);
}

#[tokio::test(start_paused = true)]
async fn a_stalled_body_gives_way_while_memory_is_short() {
    // Guards against stalled bodies that keep the memory from sound ones until their time-out.
    let budget = budget();
    let mut large = fill(&budget, lift_listen::HeldKind::Body, 4 * MIB);
    large.pop();
    let held = budget.hold(lift_listen::HeldKind::Body);
    let started = tokio::time::Instant::now();
    let read = READER
        .read(&http::HeaderMap::new(), unfinished(MIB), held)
        .await;
    assert_eq!(read.unwrap_err(), lift_listen::BodyError::Overloaded);
    assert!(started.elapsed() < READER.stall_timeout);
}
