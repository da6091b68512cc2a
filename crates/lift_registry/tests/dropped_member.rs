//! Members that end without being stopped.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::time;

use support::{Fleet, read, replace};

/// Time in which the tasks of a dropped member notice that it is gone.
const DROP_TIME: time::Duration = time::Duration::from_secs(1);

#[tokio::test(flavor = "multi_thread")]
async fn members_that_are_dropped_without_a_stop_keep_their_disks() {
    // Guards against a process that ends with an error after its member started and takes the
    // end of its own feed for a removal, which clears the disk.
    let fleet = Fleet::new(61, 3);
    let first = fleet.start(0, true).await;
    let second = fleet.start(1, true).await;
    let third = fleet.start(2, true).await;
    replace(&[&first, &second, &third], 7).await;
    drop((first, second, third));
    tokio::time::sleep(DROP_TIME).await;
    for number in 0..3 {
        assert!(!fleet.has_retired(number), "host {number} cleared its disk");
    }
    let first = fleet.start(0, false).await;
    let second = fleet.start(1, false).await;
    assert_eq!(read(&[&first, &second]).await, "7");
}
