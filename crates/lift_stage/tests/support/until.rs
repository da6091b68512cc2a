//! Waiting for a condition.

use std::time;

const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// Waits until `condition` holds, and fails the test if it does not in time.
pub(crate) async fn until(what: &str, condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, waiting).await;
    assert!(waited.is_ok(), "{what}");
}
