//! What an operator sees of a retry budget that is spent.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use support::{Backend, Fleet, Reply};

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_that_the_budget_denies_is_counted() {
    let backend = Backend::start(&[Reply::status(500)]).await;
    let other = Backend::start(&[Reply::status(500)]).await;
    let limits = lift_gateway::GatewayLimits {
        retry_ratio: 0.0,
        retry_burst: 0.0,
        ..support::limits()
    };
    let fleet = Fleet::start_with(108, &[&backend, &other], limits).await;
    assert_eq!(fleet.call("idempotent", "r1").await.0, 500);
    assert_eq!(fleet.counters.value("repeat.failed"), 0);
    assert_eq!(fleet.counters.value("gateway.repeats_denied"), 1);
}
