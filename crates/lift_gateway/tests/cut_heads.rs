//! Backend servers that stop in the middle of the head of an answer and close.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use support::{Backend, Fleet, Reply, Step};

/// Heads of answers to the request in front, with all that a complete answer needs.
const HEADS: [(&str, &str); 3] = [
    (
        "non_idempotent",
        "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: 1\r\ncontent-length: 4\r\n\r\n",
    ),
    (
        "non_idempotent",
        "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: 1\r\n\r\n",
    ),
    (
        "stream",
        "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: 1\r\n\r\n",
    ),
];

/// Attempts of a request at most.
const MAX_ATTEMPTS: usize = 4;

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_was_cut_anywhere_is_no_answer() {
    // Guards against a success with an empty or short body that looks whole (a report of other
    // operators).
    let mut subnets = 141..;
    for (route, head) in HEADS {
        for end in [Step::Close, Step::Reset] {
            let cut = |i: usize| Reply::Script(vec![Step::send(&head[..i]), end.clone()]);
            let cuts = (1..head.len()).map(cut);
            // Attempts that are repeated get some of the same replies.
            let replies: Vec<_> = cuts.cycle().take(head.len() * MAX_ATTEMPTS).collect();
            let backend = Backend::start(&replies).await;
            let fleet = Fleet::start(subnets.next().unwrap(), &[&backend]).await;
            for i in 0..head.len() {
                let result = fleet.try_call(route, &format!("r{i}")).await;
                assert!(!matches!(result, Ok((200..=299, _))), "{i}: {result:?}");
            }
            assert!(backend.received().len() >= head.len() - 1, "{route}");
        }
    }
}
