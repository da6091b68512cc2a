//! Which gateways get load reports, and how often.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::net;

/// Reports that are counted.
const REPORTS: usize = 60;

fn gateway(region: &str, host: u8) -> lift_feed::NodeCard {
    let address = net::IpAddr::from([10, 0, 0, host]);
    lift_feed::NodeCard {
        kind: lift_feed::NodeKind::Gateway,
        location: lift_types::Location {
            region: String::from(region),
            failure_domain: format!("{region}-1"),
            host: u32::from(host),
        },
        service: None,
        incarnation: 1,
        load_addr: Some(net::SocketAddr::from((address, 7_700))),
        piece_addr: None,
    }
}

/// Reports that each gateway gets, the `near` ones first.
fn counts(near: u8, far: u8) -> Vec<usize> {
    let mut nodes: Vec<_> = (0..near).map(|host| gateway("here", host)).collect();
    nodes.extend((near..near + far).map(|host| gateway("there", host)));
    let mut audience = lift_stage::ReportAudience::default();
    audience.set_gateways("here", &nodes);
    let mut counts = vec![0; nodes.len()];
    for _ in 0..REPORTS {
        for address in audience.next_report() {
            let position = nodes.iter().position(|n| n.load_addr == Some(address));
            counts[position.unwrap()] += 1;
        }
    }
    counts
}

#[test]
fn gateways_of_the_region_get_all_reports_and_the_others_a_part() {
    // Guards against reports that grow with servers times gateways: 120 servers and 52 gateways
    // exchanged 125,000 a second.
    assert_eq!(counts(2, 4), [REPORTS; 6]);
    let large = counts(10, 42);
    assert_eq!(large[..10], [REPORTS; 10]);
    assert_eq!(large[10..], [REPORTS / 3; 42]);
}

#[test]
fn other_nodes_get_no_reports() {
    let mut agent = gateway("here", 1);
    agent.kind = lift_feed::NodeKind::Agent;
    let mut audience = lift_stage::ReportAudience::default();
    audience.set_gateways("here", &[agent]);
    assert_eq!(audience.next_report().count(), 0);
}
