//! Guards against selections that overfill a cold server, or that avoid it altogether.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[allow(dead_code)]
mod selection_case;

use lift_dispatch::{ColdState, SelectionError};
use selection_case::{Case, sample};

/// Two servers of 4 slots, of which the second is cold. Of equal ones, the second is selected.
fn case(state: ColdState, requests: [u32; 2]) -> Case {
    let mut case = Case::new(&["here", "here"]);
    case.cold[1] = state;
    for (load, requests) in case.loads.iter_mut().zip(requests) {
        load.record_sample(sample(case.now, requests));
    }
    case
}

#[test]
fn a_cold_server_costs_a_little_more_than_a_warm_one() {
    assert_eq!(case(ColdState::Warm, [0, 0]).select().as_deref(), Ok("s1"));
    assert_eq!(case(ColdState::Cold, [0, 0]).select().as_deref(), Ok("s0"));
    assert_eq!(case(ColdState::Cold, [1, 0]).select().as_deref(), Ok("s1"));
    // It still comes before a warm server in another region.
    let mut remote = Case::new(&["there", "here"]);
    remote.cold[1] = ColdState::Cold;
    assert_eq!(remote.select().as_deref(), Ok("s1"));
}

#[test]
fn a_cold_server_whose_share_is_used_up_counts_as_full() {
    assert_eq!(case(ColdState::Full, [3, 0]).select().as_deref(), Ok("s0"));
    let mut case = case(ColdState::Full, [0, 0]);
    case.cold[0] = ColdState::Full;
    assert_eq!(case.select(), Err(SelectionError::Cold));
    // A slot may be free soon, so the request waits.
    case.cold[0] = ColdState::Warm;
    case.loads[0].record_sample(sample(case.now, 100));
    assert_eq!(case.select(), Err(SelectionError::Full));
}
