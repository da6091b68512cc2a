//! Splitting of a stream into events. Guards against incomplete, missing and repeated events.

use lift_gateway::{EventBuffer, EventError};
use proptest::prelude::*;

fn event(number: u64) -> String {
    format!("id: {number}\ndata: word {number}\n\n")
}

#[test]
fn an_incomplete_event_is_kept_back() {
    // Guards against forwarding a part of an event and then, after the stream has resumed at
    // another backend server, the complete event.
    let mut buf = EventBuffer::new(None);
    let text = event(1) + &event(2)[..8];
    assert_eq!(buf.push(text.as_bytes()).unwrap(), event(1).as_bytes());
    assert!(buf.has_partial_event());
    buf.discard_partial_event();
    assert_eq!(buf.last_event(), Some(1));
    assert_eq!(buf.push(event(2).as_bytes()).unwrap(), event(2).as_bytes());
}

#[test]
fn missing_and_repeated_events_are_errors() {
    let out_of_order = |last, found| Err(EventError::OutOfOrder { last, found });
    let mut buf = EventBuffer::new(Some(4));
    assert_eq!(buf.push(event(4).as_bytes()), out_of_order(4, 4));
    let mut buf = EventBuffer::new(Some(4));
    assert_eq!(buf.push(event(6).as_bytes()), out_of_order(4, 6));
    let mut buf = EventBuffer::new(None);
    assert_eq!(buf.push(b"data: x\n\n"), Err(EventError::Unnumbered));
}

#[test]
fn other_fields_and_comments_are_kept_unchanged() {
    let mut buf = EventBuffer::new(None);
    let text = "weight-versions: 3\nid: 1\ndata: x\n\n: ping\n\nid: 2\r\ndata: y\r\n\r\n";
    assert_eq!(buf.push(text.as_bytes()).unwrap(), text.as_bytes());
    assert_eq!(buf.last_event(), Some(2));
}

proptest! {
    #[test]
    fn the_sizes_of_received_parts_do_not_matter(
        count in 1..8_u64,
        lengths in proptest::collection::vec(1..12_usize, 0..60),
    ) {
        let text: String = (1..=count).map(event).collect();
        let mut buf = EventBuffer::new(None);
        let (mut out, mut rest) = (Vec::new(), text.as_bytes());
        for length in lengths {
            let (now, later) = rest.split_at(length.min(rest.len()));
            out.extend_from_slice(&buf.push(now).unwrap());
            rest = later;
        }
        out.extend_from_slice(&buf.push(rest).unwrap());
        prop_assert_eq!(out, text.into_bytes());
        prop_assert_eq!(buf.last_event(), Some(count));
        prop_assert!(!buf.has_partial_event());
    }
}
