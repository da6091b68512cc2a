//! Guards against a restriction that is lost where a route and a workspace both have one, or where
//! a region is not known.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use lift_fleet::AllowedRegions;

fn regions(names: &[&str]) -> AllowedRegions {
    AllowedRegions::new(names.iter().copied().map(String::from))
}

#[test]
fn an_empty_list_restricts_nothing() {
    let any = regions(&[]);
    assert!(any.contains(Some("a")) && any.contains(None) && !any.is_empty());
}

#[test]
fn a_server_in_an_unknown_region_is_in_no_listed_one() {
    let listed = regions(&["a"]);
    assert!(listed.contains(Some("a")) && !listed.contains(Some("b")) && !listed.contains(None));
}

#[test]
fn two_restrictions_both_bind() {
    let both = regions(&["a", "b"]).intersect(&regions(&["b", "c"]));
    assert!(both.contains(Some("b")) && !both.contains(Some("a")) && !both.contains(Some("c")));
    let one = regions(&["a"]).intersect(&regions(&[]));
    assert_eq!(one, regions(&["a"]));
    assert_eq!(regions(&[]).intersect(&one), one);
}

#[test]
fn restrictions_without_a_common_region_allow_none() {
    let none = regions(&["a"]).intersect(&regions(&["b"]));
    assert!(none.is_empty());
    assert!(!none.contains(Some("a")) && !none.contains(Some("b")) && !none.contains(None));
}
