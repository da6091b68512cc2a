//! When a node learns that versions of weights were named, over loopback.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod support;

use std::{sync, time};

use lift_feed::{EarlierVersion, FeedSource as _, NamedWeights};
use support::{Member, Observer, client, until};

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_starts_late_hears_of_earlier_namings() {
    // Guards against a gateway that starts between two namings and the end of the first one's time,
    // knows of the second one only, and uses weights that are too old by the first.
    let host = [127, 0, 37, 1];
    let member = Member::start(host).await;
    let s = time::Duration::from_secs(1);
    member.source.name(NamedWeights {
        version: 3,
        named_for: Some(9 * s),
        earlier: vec![EarlierVersion {
            version: 2,
            named_for: Some(12 * s),
        }],
    });
    let observer = sync::Arc::new(Observer::default());
    let _client = client(&observer, [127, 0, 37, 9], &[host]);
    until("both namings", || observer.weights.lock().len() >= 2).await;
    let heard = observer.weights.lock().clone();
    assert_eq!((heard[0].0, heard[1].0), (2, 3), "the oldest first");
    let age = |i: usize| heard[i].1.unwrap().elapsed();
    assert!(age(0) >= 12 * s && age(1) >= 9 * s && age(1) < 11 * s);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_naming_of_long_ago_is_not_news() {
    // Guards against a naming that is forgotten for its age and announced again with every change
    // of the configuration.
    let host = [127, 0, 38, 1];
    let member = Member::start(host).await;
    let long = time::Duration::from_hours(72);
    member.source.name(NamedWeights {
        version: 3,
        named_for: Some(long),
        earlier: vec![EarlierVersion {
            version: 2,
            named_for: Some(2 * long),
        }],
    });
    let observer = sync::Arc::new(Observer::default());
    let _client = client(&observer, [127, 0, 38, 9], &[host]);
    until("the naming", || !observer.weights.lock().is_empty()).await;
    for version in 1..=3 {
        member.put(version);
        let is_held = || observer.tables.lock().last() == Some(&version);
        until("the document", is_held).await;
    }
    let heard = observer.weights.lock().clone();
    assert!(heard.iter().all(|(version, _)| *version == 3), "{heard:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn earlier_namings_of_long_ago_or_unknown_times_are_heard_after_a_recent_one() {
    // Guards against the use of weights that an earlier naming has replaced long ago.
    let host = [127, 0, 39, 1];
    let member = Member::start(host).await;
    let long = time::Duration::from_hours(72);
    let earlier = |version, named_for| EarlierVersion { version, named_for };
    member.source.name(NamedWeights {
        version: 5,
        named_for: Some(time::Duration::ZERO),
        earlier: vec![
            earlier(2, Some(2 * long)),
            earlier(3, Some(long)),
            earlier(4, None),
        ],
    });
    let observer = sync::Arc::new(Observer::default());
    let _client = client(&observer, [127, 0, 39, 9], &[host]);
    until("the newest", || {
        let heard = observer.weights.lock();
        heard.last().is_some_and(|(version, _)| *version == 5)
    })
    .await;
    let heard = observer.weights.lock().clone();
    let versions: Vec<_> = heard.iter().map(|(version, _)| *version).collect();
    assert_eq!(versions, [3, 4, 5], "the oldest first");
    assert_eq!(heard[1].1, None);
}

/// Runs a node that stands still for `pause` each time it is told, as a host that is suspended.
fn start_pausing_node(
    observer: sync::Arc<Observer>,
    host: [u8; 4],
    member: [u8; 4],
) -> sync::mpsc::Sender<time::Duration> {
    let (tx, rx) = sync::mpsc::channel::<time::Duration>();
    std::thread::spawn(move || {
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_all().build().unwrap();
        runtime.block_on(async {
            let _client = client(&observer, host, &[member]);
            loop {
                tokio::time::sleep(time::Duration::from_millis(5)).await;
                match rx.try_recv() {
                    Ok(pause) => std::thread::sleep(pause),
                    Err(sync::mpsc::TryRecvError::Empty) => {}
                    Err(sync::mpsc::TryRecvError::Disconnected) => return,
                }
            }
        });
    });
    tx
}

/// A naming that came while the only node stood still.
struct MissedNaming {
    member: Member,
    observer: sync::Arc<Observer>,
    /// Right after the naming.
    named_at: time::Instant,
    _node: sync::mpsc::Sender<time::Duration>,
}

impl MissedNaming {
    /// Names a version as the node begins to stand still for `pause`.
    async fn play(subnet: u8, pause: time::Duration) -> Self {
        let member_host = [127, 0, subnet, 1];
        let member = Member::start(member_host).await;
        member.source.put(1);
        member.source.lead(true);
        let observer = sync::Arc::new(Observer::default());
        let seen = sync::Arc::clone(&observer);
        let node = start_pausing_node(seen, [127, 0, subnet, 9], member_host);
        until("a confirmation", || observer.confirmed.lock().is_some()).await;
        tokio::time::sleep(time::Duration::from_millis(1_000)).await;
        node.send(pause).unwrap();
        tokio::time::sleep(time::Duration::from_millis(150)).await;
        member.source.name(NamedWeights {
            version: 2,
            named_for: Some(time::Duration::ZERO),
            earlier: Vec::new(),
        });
        let named_at = time::Instant::now();
        member.server.push_head(member.source.head());
        Self {
            member,
            observer,
            named_at,
            _node: node,
        }
    }

    /// Times that the node has learned, of which none may be after the naming.
    fn times(&self) -> Vec<time::Instant> {
        let learned = self.observer.weights.lock();
        let times: Vec<_> = learned.iter().map(|(_, at)| at.unwrap()).collect();
        assert!(times.iter().all(|at| *at <= self.named_at), "{times:?}");
        times
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_naming_that_waits_for_a_node_counts_from_before_it_although_control_ends() {
    // Guards against a wrong time that no later answer corrects.
    let naming = MissedNaming::play(91, time::Duration::from_millis(1_500)).await;
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    naming.member.stop.cancel();
    until("the naming", || !naming.observer.weights.lock().is_empty()).await;
    assert!(!naming.times().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_stands_still_does_not_date_a_naming_by_its_arrival() {
    let pause = time::Duration::from_millis(2_150);
    let naming = MissedNaming::play(90, pause).await;
    tokio::time::sleep(pause + time::Duration::from_secs(2)).await;
    let early = naming.named_at - *naming.times().last().unwrap();
    assert!(early < time::Duration::from_millis(300), "{early:?}");
}
