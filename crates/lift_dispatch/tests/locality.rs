//! Guards against gateways whose own servers are too few and which may use few of the others'
//! places, against gateways that together use more places than there are, and against requests
//! that leave their failure domain for less than the way costs.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod selection_case;

use std::time;

use lift_dispatch::{
    Distances, GatewayShares, LocalityCosts, RegionBalance, RegionCapacity, SelectionError,
};
use selection_case::{Case, MS, sample};

const REGIONS: [&str; 3] = ["a", "b", "c"];
const GATEWAYS: u32 = 12;

fn capacity(region: &str, slots: f64, gateways: f64) -> RegionCapacity {
    RegionCapacity {
        region: String::from(region),
        slots,
        gateways,
    }
}

/// Twelve gateways, four in each region, and servers with `slots` slots in each.
fn balance(slots: [f64; 3]) -> RegionBalance {
    let regions = REGIONS.iter().zip(slots);
    let capacities: Vec<_> = regions.map(|(r, slots)| capacity(r, slots, 4.0)).collect();
    RegionBalance::new(&capacities)
}

fn gateway(host: u32) -> lift_types::Location {
    let region = String::from(REGIONS[host as usize % REGIONS.len()]);
    lift_types::Location {
        failure_domain: region.clone(),
        region,
        host,
    }
}

fn shares() -> Vec<GatewayShares> {
    let all: Vec<_> = (0..GATEWAYS).map(gateway).collect();
    all.iter()
        .map(|own| GatewayShares::new(own, &all))
        .collect()
}

/// Places of 1,000 that the gateways of each region may use at a server in `region`.
fn places(balance: Option<&RegionBalance>, region: &str, free: f64) -> [u32; 3] {
    let mut places = [0; 3];
    for (host, shares) in shares().iter().enumerate() {
        places[host % REGIONS.len()] += shares.places(Some(region), balance, free, 0.5);
    }
    places
}

#[test]
fn the_gateways_of_an_evacuated_region_share_the_others_servers() {
    let evacuated = balance([0.0, 17.0, 17.0]);
    // Without the balance the gateways of a get a tenth of each of the others' servers, for a third
    // of the callers.
    assert_eq!(places(None, "b", 1_000.0), [100, 800, 100]);
    let [a, b, c] = places(Some(&evacuated), "b", 1_000.0);
    assert!(a >= 333 && b >= 500 && c <= 100, "{a} {b} {c}");
}

#[test]
fn even_regions_keep_their_servers_as_without_a_balance() {
    let even = balance([17.0, 17.0, 17.0]);
    for region in REGIONS {
        assert_eq!(
            places(Some(&even), region, 1_000.0),
            places(None, region, 1_000.0)
        );
    }
}

#[test]
fn the_places_of_all_gateways_add_up_to_the_free_ones() {
    // Otherwise servers are overrun at each load report, or idle.
    for slots in [
        [0.0, 17.0, 17.0],
        [18.0, 17.0, 5.0],
        [3.0, 0.0, 9.0],
        [0.0, 0.0, 4.0],
    ] {
        let balance = balance(slots);
        for region in REGIONS.iter().zip(slots).filter(|(_, slots)| *slots > 0.0) {
            for free in 0..40 {
                let used: u32 = places(Some(&balance), region.0, f64::from(free))
                    .iter()
                    .sum();
                assert_eq!(used, free, "{slots:?} {region:?}");
            }
        }
    }
}

#[test]
fn each_region_gets_servers_for_its_callers() {
    // Plays uneven regions: the gateways of each may use what they need of all slots, a third, except
    // for the fifth that is common to all.
    for slots in [
        [0.0, 17.0, 17.0],
        [18.0, 17.0, 5.0],
        [3.0, 0.0, 9.0],
        [0.0, 0.0, 4.0],
    ] {
        let balance = balance(slots);
        let all: f64 = slots.iter().sum();
        let mut got = [0.0; 3];
        for (region, slots) in REGIONS.iter().zip(slots) {
            for (got, places) in got.iter_mut().zip(places(Some(&balance), region, 900.0)) {
                *got += slots * f64::from(places) / 900.0;
            }
        }
        for got in got {
            assert!(got / all >= 0.8 / 3.0, "{slots:?} {got}");
        }
    }
}

#[test]
fn a_region_without_gateways_or_servers_divides_nothing_by_zero() {
    let lone = RegionBalance::new(&[capacity("a", 8.0, 2.0), capacity("b", 0.0, 0.0)]);
    assert_eq!(lone.section("a", "a"), Some((0.0, 1.0)));
    assert_eq!(lone.section("b", "a"), None);
    assert_eq!(RegionBalance::new(&[]), RegionBalance::default());
    assert_eq!(
        RegionBalance::new(&[capacity("a", 0.0, 1.0)]),
        RegionBalance::default()
    );
}

/// A selection with a server here and one there, 20 ms away and back, whose way is worth 30 ms.
fn priced_case() -> Case {
    let own = gateway_here();
    let prices = LocalityCosts {
        domain: 10 * MS,
        region: 30 * MS,
    };
    let delays = [lift_fleet::DomainDelay {
        from: String::from("there-1"),
        to: own.failure_domain.clone(),
        delay: 10 * MS,
    }];
    let mut case = Case::new(&["here", "there"]);
    case.distances = Some(Distances::new(&own, prices, &delays));
    case
}

fn gateway_here() -> lift_types::Location {
    lift_types::Location {
        region: String::from("here"),
        failure_domain: String::from("here-1"),
        host: 1,
    }
}

#[test]
fn a_request_leaves_only_for_a_shorter_wait() {
    // The engine reads a prompt in 40 ms, so one prompt ahead costs less than the way and two more.
    for (prompts, expected) in [(0, "s0"), (1, "s0"), (2, "s1")] {
        let mut case = priced_case();
        let mut busy = sample(case.now, prompts);
        busy.queued_prompts = prompts;
        case.loads[0].record_sample(busy);
        case.loads[1].record_sample(sample(case.now, prompts));
        assert_eq!(case.select().as_deref(), Ok(expected), "{prompts}");
    }
}

#[test]
fn a_full_failure_domain_is_left_whatever_the_way_costs() {
    let mut case = priced_case();
    case.loads[0].record_sample(sample(case.now, 4));
    case.loads[1].record_sample(sample(case.now, 0));
    assert_eq!(case.select().as_deref(), Ok("s1"));
    case.allowed_regions = lift_fleet::AllowedRegions::new([String::from("here")]);
    assert_eq!(case.select(), Err(SelectionError::Full));
}

#[test]
fn the_price_of_a_region_is_not_that_of_a_failure_domain() {
    let own = gateway_here();
    let prices = LocalityCosts {
        domain: 10 * MS,
        region: 30 * MS,
    };
    let distances = Distances::new(&own, prices, &[]);
    let case = Case::new(&["here", "there"]);
    let waits: Vec<_> = case.backends().iter().map(|b| distances.cost(b)).collect();
    assert_eq!(waits, [time::Duration::ZERO, 30 * MS]);
}
