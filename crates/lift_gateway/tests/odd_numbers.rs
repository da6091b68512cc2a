//! Numbers of operators and backend servers that are too large to add to a time.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use support::{Backend, Fleet, Reply};

#[tokio::test(flavor = "multi_thread")]
async fn a_keep_alive_time_that_is_too_large_costs_no_answer() {
    // Guards against a sum of times that overflows and ends the connection of a caller.
    let odd = Reply::ok("word").header("x-keep-s", "18446744073709551615");
    let backend = Backend::start(&[odd]).await;
    let fleet = Fleet::start(98, &[&backend]).await;
    let first = fleet.try_call("non_idempotent", "r1").await;
    assert_eq!(first, Ok((200, String::from("word"))));
    assert_eq!(fleet.call("non_idempotent", "r2").await.1, "done");
}
