//! What the log says about a refusal.

use std::time;

use lift_dispatch::{ConsideredLoad, ConsideredLoads};

#[test]
fn the_emptiest_servers_are_named_and_the_line_stays_short() {
    // Guards against refusals whose reason can't be found, and against a line that names a whole
    // fleet.
    let load = |i: u32| ConsideredLoad {
        backend: format!("s{i}"),
        requests: 100 - i,
        slots: 12,
        age: (i != 99).then_some(time::Duration::from_millis(40)),
    };
    let text = ConsideredLoads::new((0..100).map(load).collect()).to_string();
    assert!(
        text.starts_with("100 servers s98:2/12@40ms s97:3/12@40ms "),
        "{text}"
    );
    assert!(text.len() < 120, "{text}");
    let silent = ConsideredLoads::new(vec![load(99)]).to_string();
    assert_eq!(silent, "1 servers s99:1/12@stale");
}
