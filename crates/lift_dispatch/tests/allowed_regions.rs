//! Guards against requests that run in a region in which they must not, however full or broken the
//! servers of the allowed ones are, and against callers that wait where no server is allowed.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod selection_case;

use lift_dispatch::SelectionError;
use selection_case::{Case, sample};

fn case(regions: &[&str], allowed: &[&str]) -> Case {
    let mut case = Case::new(regions);
    case.allowed_regions =
        lift_fleet::AllowedRegions::new(allowed.iter().copied().map(String::from));
    case
}

#[test]
fn full_servers_of_an_allowed_region_send_nothing_elsewhere() {
    let mut case = case(&["here", "there"], &["here"]);
    case.loads[0].record_sample(sample(case.now, 4));
    assert_eq!(case.select(), Err(SelectionError::Full));
}

#[test]
fn the_own_region_is_left_where_it_is_not_allowed() {
    let case = case(&["here", "there"], &["there"]);
    assert_eq!(case.select().as_deref(), Ok("s1"));
}

#[test]
fn a_retry_stays_in_the_allowed_regions() {
    let mut case = case(&["here", "there"], &["here"]);
    case.tried.push(String::from("s0"));
    assert_eq!(case.select(), Err(SelectionError::Tried));
}

#[test]
fn a_service_without_a_server_in_an_allowed_region_is_told_apart_from_a_full_one() {
    // A full service makes requests wait, which would be in vain here.
    let case = case(&["here", "there"], &["elsewhere"]);
    assert_eq!(case.select(), Err(SelectionError::NoAllowedRegion));
}

#[test]
fn congested_links_of_other_regions_do_not_open_those_of_an_allowed_one() {
    // Guards against a request sent over the only congested link of its region because many links
    // of regions that it can't use are congested as well.
    let regions = ["here", "here", "here", "there", "there", "there", "there"];
    let mut case = case(&regions, &["here"]);
    for (position, load) in case.loads.iter_mut().enumerate() {
        let mut sample = sample(case.now, if position == 0 { 0 } else { 4 });
        sample.link_percent = Some(if position == 0 || position > 2 {
            1
        } else {
            100
        });
        load.record_sample(sample);
    }
    assert_eq!(case.select(), Err(SelectionError::Full));
}
